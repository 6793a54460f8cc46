#include "base64.h"

#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

char *zr_base64_encode(const void *data, size_t length)
{
	char *text = malloc(4 * ((length + 2) / 3) + 1);

	if (text)
		EVP_EncodeBlock((unsigned char *)text, data, (int)length);
	return text;
}

static size_t padding_of(const char *text, size_t length)
{
	if (length && text[length - 1] == '=')
		return length > 1 && text[length - 2] == '=' ? 2 : 1;
	return 0;
}

int zr_base64_decode(void **out, size_t *out_length, const char *text)
{
	size_t length = strlen(text);
	unsigned char *bytes = malloc(length / 4 * 3 + 1);
	int got;

	if (!bytes)
		return ZR_E_NOMEM;
	got = EVP_DecodeBlock(bytes, (const unsigned char *)text, (int)length);
	if (length % 4 || got < 0) {
		free(bytes);
		return zr_error_set(ZR_E_PROTOCOL, "not base64");
	}
	*out_length = (size_t)got - padding_of(text, length);
	bytes[*out_length] = '\0';
	*out = bytes;
	return 0;
}

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

/* EVP_DecodeBlock() counts each padding character as a decoded byte. */
static size_t count_padding(const char *text, size_t length)
{
	if (length && text[length - 1] == '=')
		return length > 1 && text[length - 2] == '=' ? 2 : 1;
	return 0;
}

int zr_base64_decode(void **out, size_t *out_length, const char *text)
{
	size_t length = strlen(text);
	unsigned char *bytes = malloc(length / 4 * 3 + 1);
	int decoded_length;

	if (!bytes)
		return ZR_E_NOMEM;
	decoded_length = EVP_DecodeBlock(bytes, (const unsigned char *)text,
					 (int)length);
	if (length % 4 || decoded_length < 0) {
		free(bytes);
		return zr_error_set(ZR_E_PROTOCOL, "invalid base64");
	}
	*out_length = (size_t)decoded_length - count_padding(text, length);
	bytes[*out_length] = '\0';
	*out = bytes;
	return 0;
}

#ifndef ZR_UTIL_BASE64_H
#define ZR_UTIL_BASE64_H

#include <stddef.h>

/**
 * DOC: Base64, by OpenSSL's EVP codec
 */

/**
 * zr_base64_encode() - encode bytes as NUL-terminated base64
 * @data: the bytes
 * @length: how many
 *
 * Return: the text, to be freed with free(); NULL without memory.
 */
char *zr_base64_encode(const void *data, size_t length);

/**
 * zr_base64_decode() - decode base64
 * @out: the bytes, followed by a NUL byte, to be freed with free()
 * @out_length: how many, without that NUL
 * @text: NUL-terminated base64
 *
 * Return: 0, ZR_E_NOMEM, or ZR_E_PROTOCOL for what is not base64.
 */
int zr_base64_decode(void **out, size_t *out_length, const char *text);

#endif

#ifndef ZR_UTIL_BASE64_H
#define ZR_UTIL_BASE64_H

#include <stddef.h>

/**
 * DOC: Base64 encoding and decoding with OpenSSL
 */

/**
 * zr_base64_encode() - encode bytes as NUL-terminated base64
 * @data: bytes to encode
 * @length: number of bytes
 *
 * Return: the text, to be freed with free(); NULL if out of memory.
 */
char *zr_base64_encode(const void *data, size_t length);

/**
 * zr_base64_decode() - decode NUL-terminated base64
 * @out: receives the bytes, followed by a NUL byte, to be freed with free()
 * @out_length: receives the number of bytes, without the NUL byte
 * @text: the base64 text
 *
 * Return: 0, ZR_E_NOMEM, or ZR_E_PROTOCOL if @text is not valid base64.
 */
int zr_base64_decode(void **out, size_t *out_length, const char *text);

#endif

#ifndef REVIEW_CALL_H
#define REVIEW_CALL_H

#include <stddef.h>

/**
 * call_http() - make one HTTP call and wait for the response
 * @out: receives the body, cut off at @size
 * @size: size of @out
 * @address: IP address and port
 * @request: the request line and all header fields but Content-Length, each
 *	with its line end
 * @body: body of the request, or ""
 * @timeout_ms: time for each read
 *
 * Return: the status of the response; 0 if there was none.
 */
int call_http(char *out, size_t size, const char *address, const char *request,
	      const char *body, int timeout_ms);

#endif

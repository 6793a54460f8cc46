/*
 * A client of the system, or the operator: makes one call and prints the status
 * and the body of the response, "0" if there was none.
 *
 * usage: client METHOD ADDRESS PATH HOST KEY [BODY]
 */
#include <stdio.h>

#include "call.h"

#define TIMEOUT_MS 3000

int main(int argc, char **argv)
{
	char request[1024];
	char body[4096];
	int status;

	if (argc < 6)
		return 2;
	snprintf(request, sizeof(request),
		 "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n"
		 "X-Request-Deadline: %d\r\n",
		 argv[1], argv[3], argv[4], argv[5], TIMEOUT_MS);
	status = call_http(body, sizeof(body), argv[2], request,
			   argc > 6 ? argv[6] : "", TIMEOUT_MS);
	printf("%d %s\n", status, body);
	return 0;
}

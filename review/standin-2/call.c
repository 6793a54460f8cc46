#include "call.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define RESPONSE_MAX (1 << 16)

static int connect_to(const char *address, int timeout_ms)
{
	const char *colon = strrchr(address, ':');
	struct sockaddr_in to = {.sin_family = AF_INET};
	struct timeval timeout = {timeout_ms / 1000,
				  (long)(timeout_ms % 1000) * 1000};
	char ip[32];
	int fd;

	if (!colon || (size_t)(colon - address) >= sizeof(ip))
		return -1;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	to.sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (inet_pton(AF_INET, ip, &to.sin_addr) != 1 ||
	    connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static int send_all(int fd, const char *text)
{
	size_t left = strlen(text);

	while (left) {
		ssize_t sent = send(fd, text, left, MSG_NOSIGNAL);

		if (sent <= 0)
			return -1;
		text += sent;
		left -= (size_t)sent;
	}
	return 0;
}

/* Whether the response is complete; *@out_body is then its body. */
static int is_complete(const char *response, size_t length,
		       const char **out_body)
{
	const char *end = strstr(response, "\r\n\r\n");
	const char *line;

	if (!end)
		return 0;
	*out_body = end + 4;
	for (line = response; line < end; line = strstr(line, "\r\n") + 2) {
		if (!strncasecmp(line, "content-length:", 15))
			return (size_t)(response + length - *out_body) >=
			       strtoul(line + 15, NULL, 10);
	}
	return 1;
}

int call_http(char *out, size_t size, const char *address, const char *request,
	      const char *body, int timeout_ms)
{
	static char response[RESPONSE_MAX];
	const char *found = "";
	size_t length = 0;
	char fields[96];
	int status = 0;
	int fd = connect_to(address, timeout_ms);

	out[0] = '\0';
	if (fd < 0)
		return 0;
	snprintf(
		fields, sizeof(fields),
		"Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		strlen(body));
	if (send_all(fd, request) || send_all(fd, fields) ||
	    send_all(fd, body)) {
		close(fd);
		return 0;
	}
	while (length + 1 < sizeof(response)) {
		ssize_t got = recv(fd, response + length,
				   sizeof(response) - 1 - length, 0);

		if (got <= 0)
			break;
		length += (size_t)got;
		response[length] = '\0';
		if (!is_complete(response, length, &found))
			continue;
		status = (int)strtol(response + strcspn(response, " "), NULL,
				     10);
		snprintf(out, size, "%s", found);
		break;
	}
	close(fd);
	return status;
}

#include "net/address.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

#define PORT_MAX 65535
#define LISTEN_BACKLOG 512

static int set_invalid_address(const char *text)
{
	return zr_error_set(ZR_E_INVALID,
			    "'%s' is not an address such as 192.0.2.1:80",
			    text);
}

static int parse_port(const char *text)
{
	char *end;
	long port;

	/* strtol() would skip spaces and line ends, and accept a sign. */
	if (!isdigit((unsigned char)text[0]))
		return ZR_E_INVALID;
	port = strtol(text, &end, 10);
	if (*end || port < 1 || port > PORT_MAX)
		return ZR_E_INVALID;
	return (int)port;
}

int zr_address_parse(struct sockaddr_storage *out, const char *text)
{
	char host[ZR_ADDRESS_MAX];
	const char *colon = strrchr(text, ':');
	size_t length;
	int port;

	/* Those who keep the text have as much space. */
	if (!colon || strlen(text) >= sizeof(host))
		return set_invalid_address(text);
	length = (size_t)(colon - text);
	memcpy(host, text, length);
	host[length] = '\0';
	port = parse_port(colon + 1);
	if (port < 0)
		return set_invalid_address(text);
	memset(out, 0, sizeof(*out));
	if (length > 2 && host[0] == '[' && host[length - 1] == ']') {
		host[length - 1] = '\0';
		if (uv_ip6_addr(host + 1, port, (struct sockaddr_in6 *)out))
			return set_invalid_address(text);
		return 0;
	}
	if (uv_ip4_addr(host, port, (struct sockaddr_in *)out))
		return set_invalid_address(text);
	return 0;
}

int zr_address_listen(uv_tcp_t *listener, const char *address,
		      uv_connection_cb on_connection)
{
	struct sockaddr_storage addr;
	int error = zr_address_parse(&addr, address);

	if (error < 0)
		return error;
	error = uv_tcp_bind(listener, (struct sockaddr *)&addr, 0);
	if (!error)
		error = uv_listen((uv_stream_t *)listener, LISTEN_BACKLOG,
				  on_connection);
	if (error == UV_EADDRINUSE)
		return zr_error_set(ZR_E_ADDRESS_IN_USE,
				    "another process listens on %s", address);
	if (error)
		return zr_error_set(ZR_E_IO, "cannot listen on %s: %s", address,
				    uv_strerror(error));
	return 0;
}

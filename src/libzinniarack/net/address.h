#ifndef ZR_NET_ADDRESS_H
#define ZR_NET_ADDRESS_H

#include <sys/socket.h>
#include <uv.h>

/**
 * DOC: Addresses
 *
 * An address is an IP address with a port, such as `192.0.2.1:80` or
 * `[2001:db8::1]:80`. Host names are not resolved.
 */

/** Maximum size in bytes of an address string, including the NUL byte. */
#define ZR_ADDRESS_MAX 64

/**
 * zr_address_parse() - parse an IP address with a port
 * @out: receives the socket address
 * @text: `192.0.2.1:80` or `[2001:db8::1]:80`
 *
 * Return: 0, or ZR_E_INVALID.
 */
int zr_address_parse(struct sockaddr_storage *out, const char *text);

/**
 * zr_address_listen() - listen on an IP address and port
 * @listener: an initialised handle, which the caller must close even on an
 *	error
 * @address: address to listen on, in the form of zr_address_parse()
 * @on_connection: called for each new connection, which it must accept
 *
 * Return: 0, ZR_E_INVALID, ZR_E_ADDRESS_IN_USE or ZR_E_IO.
 */
int zr_address_listen(uv_tcp_t *listener, const char *address,
		      uv_connection_cb on_connection);

#endif

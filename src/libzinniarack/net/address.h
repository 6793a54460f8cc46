#ifndef ZR_NET_ADDRESS_H
#define ZR_NET_ADDRESS_H

#include <sys/socket.h>
#include <uv.h>

/**
 * DOC: Addresses
 *
 * Peers are named by IP number and port, `192.0.2.1:80` or `[2001:db8::1]:80`.
 * Names are not looked up.
 */

/** Longest text of an address with port, with the final NUL. */
#define ZR_ADDRESS_MAX 64

/**
 * zr_address_parse() - read an IP number with port
 * @out: the socket address
 * @text: `192.0.2.1:80` or `[2001:db8::1]:80`
 *
 * Return: 0, or ZR_E_INVALID.
 */
int zr_address_parse(struct sockaddr_storage *out, const char *text);

/**
 * zr_address_listen() - listen on an IP number and port
 * @listener: an initialised handle; the caller closes it, also on an error
 * @address: where to listen
 * @on_connection: called for each connection to accept
 *
 * Return: 0, ZR_E_INVALID, ZR_E_ADDRESS_IN_USE or ZR_E_IO.
 */
int zr_address_listen(uv_tcp_t *listener, const char *address,
		      uv_connection_cb on_connection);

#endif

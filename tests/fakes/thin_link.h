#ifndef THIN_LINK_H
#define THIN_LINK_H

#include <stddef.h>
#include <uv.h>

/**
 * DOC: A network link of limited bandwidth
 *
 * Forwards TCP connections on the loopback interface. What the servers send
 * shares the bandwidth of the link: each connection with waiting data gets an
 * equal part. Data that waits is dropped when the client closes its connection.
 * What the clients send is forwarded without delay.
 */

struct thin_link;

/**
 * thin_link_new() - listen on @address and forward connections to @target
 * @loop: event loop
 * @address: IP address and port to listen on
 * @target: IP address and port of the server
 * @bytes_per_s: bandwidth towards the clients, in bytes per second
 *
 * Return: the link, to be freed with thin_link_free(); NULL if @address is in
 * use.
 */
struct thin_link *thin_link_new(uv_loop_t *loop, const char *address,
				const char *target, size_t bytes_per_s);

/** thin_link_free() - close all connections, and run the loop until they are */
void thin_link_free(struct thin_link *link);

#endif

#ifndef RAW_TCP_H
#define RAW_TCP_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

/**
 * DOC: TCP sockets on the loopback interface, for peers that break a protocol
 *
 * While a function waits for data or a connection, it runs the event loop of
 * the code under test, and its sockets do not block. Functions give up after 20
 * seconds, which only a failing test reaches; results don't depend on the time
 * that an exchange takes.
 */

/** raw_listen() - open a listening socket and write its address to @address */
int raw_listen(char *address, size_t size);

/** raw_accept() - run @loop until a peer connects; its socket, or -1 */
int raw_accept(uv_loop_t *loop, int listener);

/** raw_connect() - connect to `IP:PORT` */
int raw_connect(const char *address);

/** raw_send() - send all bytes; an error ends the sending */
void raw_send(int fd, const char *bytes, size_t length);

/**
 * raw_read() - run @loop until @text or the end of the stream was received
 * @loop: the event loop
 * @fd: the socket
 * @out: all bytes received, terminated by a NUL byte
 * @size: size of @out, in bytes
 * @text: text to wait for; NULL: wait for the end of the stream
 *
 * Return: whether it was received.
 */
bool raw_read(uv_loop_t *loop, int fd, char *out, size_t size,
	      const char *text);

/** raw_run() - run @loop until @done is set; false if it gives up */
bool raw_run(uv_loop_t *loop, const bool *done);

#endif

#ifndef RAW_TCP_H
#define RAW_TCP_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

/**
 * DOC: Plain sockets on loopback, for peers that keep no protocol
 *
 * The sockets do not block; raw_run() runs the loop of the code under test in
 * between. No verdict hangs on how long anything takes, only on what comes.
 */

/** raw_listen() - a listening socket; its address goes to @address */
int raw_listen(char *address, size_t size);

/** raw_accept() - run @loop until a connection has come */
int raw_accept(uv_loop_t *loop, int listener);

/** raw_connect() - a connection to `IP:PORT` */
int raw_connect(const char *address);

/** raw_send() - send all bytes */
void raw_send(int fd, const char *bytes, size_t length);

/**
 * raw_read() - run @loop until @text has come, or the end of the stream
 * @loop: the loop
 * @fd: the socket
 * @out: what has come, ended by a NUL byte
 * @size: bytes of @out
 * @text: what to wait for; NULL: the end of the stream
 *
 * Return: whether it came; false also after some seconds.
 */
bool raw_read(uv_loop_t *loop, int fd, char *out, size_t size,
	      const char *text);

/** raw_run() - run @loop until @done is set; false after some seconds */
bool raw_run(uv_loop_t *loop, const bool *done);

#endif

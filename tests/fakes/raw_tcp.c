#include "fakes/raw_tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"

#define TIMEOUT_NS (20ULL * 1000000000ULL)
#define POLL_INTERVAL_US 200

static void abort_with_errno(const char *what)
{
	perror(what);
	abort();
}

static int new_socket(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		abort_with_errno("socket");
	return fd;
}

int raw_listen(char *address, size_t size)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t length = sizeof(at);
	int fd = new_socket();

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	/* raw_accept() must not block, since it runs the loop meanwhile. */
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, 64) ||
	    fcntl(fd, F_SETFL, O_NONBLOCK) ||
	    getsockname(fd, (struct sockaddr *)&at, &length))
		abort_with_errno("listen");
	snprintf(address, size, "127.0.0.1:%u", ntohs(at.sin_port));
	return fd;
}

static void run_loop_once(uv_loop_t *loop)
{
	uv_run(loop, UV_RUN_NOWAIT);
	usleep(POLL_INTERVAL_US);
}

int raw_accept(uv_loop_t *loop, int listener)
{
	uint64_t deadline = uv_hrtime() + TIMEOUT_NS;
	int fd;

	while (uv_hrtime() < deadline) {
		fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
		if (fd >= 0)
			return fd;
		run_loop_once(loop);
	}
	return -1;
}

int raw_connect(const char *address)
{
	struct sockaddr_storage at;
	int fd = new_socket();

	if (zr_address_parse(&at, address) ||
	    connect(fd, (struct sockaddr *)&at, sizeof(struct sockaddr_in)))
		abort_with_errno("connect");
	return fd;
}

void raw_send(int fd, const char *bytes, size_t length)
{
	while (length) {
		ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);

		if (sent < 0)
			return;
		bytes += sent;
		length -= (size_t)sent;
	}
}

bool raw_read(uv_loop_t *loop, int fd, char *out, size_t size, const char *text)
{
	uint64_t deadline = uv_hrtime() + TIMEOUT_NS;
	size_t length = 0;
	ssize_t got;

	out[0] = '\0';
	while (uv_hrtime() < deadline && length + 1 < size) {
		got = recv(fd, out + length, size - length - 1, MSG_DONTWAIT);
		if (got > 0) {
			length += (size_t)got;
			out[length] = '\0';
		}
		if (text && strstr(out, text))
			return true;
		if (!got || (got < 0 && errno != EAGAIN))
			return !text;
		if (got < 0)
			run_loop_once(loop);
	}
	return false;
}

bool raw_run(uv_loop_t *loop, const bool *done)
{
	uint64_t deadline = uv_hrtime() + TIMEOUT_NS;

	while (!*done && uv_hrtime() < deadline)
		run_loop_once(loop);
	return *done;
}

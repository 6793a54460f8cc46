/*
 * Stands in for the network between two ends in tests: forwards TCP connections
 * and can lose them. Signals:
 *
 *	SIGUSR1  open connections go silent for good; new ones work
 *	SIGUSR2  cut: as SIGUSR1, and new connections are accepted and silent
 *	SIGHUP   mend: new connections work; silent ones stay silent
 */
#include <argp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <uv.h>

#include "net/address.h"
#include "zinniarack/errors.h"

#define MAPS_MAX 64
#define CHUNK_BYTES 65536

struct map {
	char listen[ZR_ADDRESS_MAX];
	struct sockaddr_storage target;
	uv_tcp_t listener;
};

struct pipe_end {
	uv_tcp_t tcp;
	struct connection *connection;
	struct pipe_end *other;
};

struct connection {
	struct connection *prev;
	struct connection *next;
	struct pipe_end caller;
	struct pipe_end server;
	uv_connect_t connect;
	bool silent;
	bool closing;
	int open;
};

struct write_job {
	uv_write_t write;
	char *bytes;
};

static struct map maps[MAPS_MAX];
static size_t map_count;
static struct connection *connections;
static bool cut;

static void on_end_closed(uv_handle_t *handle)
{
	struct connection *connection = handle->data;

	if (--connection->open)
		return;
	DL_DELETE(connections, connection);
	free(connection);
}

static void close_connection(struct connection *connection)
{
	if (connection->closing)
		return;
	connection->closing = true;
	uv_close((uv_handle_t *)&connection->caller.tcp, on_end_closed);
	uv_close((uv_handle_t *)&connection->server.tcp, on_end_closed);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char chunk[CHUNK_BYTES];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(chunk, sizeof(chunk));
}

static void on_written(uv_write_t *write, int status)
{
	struct write_job *job = (struct write_job *)write;

	(void)status;
	free(job->bytes);
	free(job);
}

static void forward(struct pipe_end *to, const char *bytes, size_t length)
{
	struct write_job *job = calloc(1, sizeof(*job));
	uv_buf_t buf;

	if (!job)
		abort();
	job->bytes = malloc(length);
	if (!job->bytes)
		abort();
	memcpy(job->bytes, bytes, length);
	buf = uv_buf_init(job->bytes, (unsigned int)length);
	if (uv_write(&job->write, (uv_stream_t *)&to->tcp, &buf, 1, on_written))
		on_written(&job->write, 0);
}

static struct pipe_end *end_of(struct connection *connection,
			       const uv_stream_t *stream)
{
	if (stream == (uv_stream_t *)&connection->caller.tcp)
		return &connection->caller;
	return &connection->server;
}

static void on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	struct connection *connection = stream->data;
	struct pipe_end *end = end_of(connection, stream);

	/* Nothing passes a silent connection, not even its end. */
	if (connection->silent || connection->closing)
		return;
	if (got < 0)
		close_connection(connection);
	else if (got > 0)
		forward(end->other, buf->base, (size_t)got);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct connection *connection = connect->data;

	if (status < 0 || connection->closing) {
		close_connection(connection);
		return;
	}
	uv_read_start((uv_stream_t *)&connection->caller.tcp, on_alloc,
		      on_read);
	uv_read_start((uv_stream_t *)&connection->server.tcp, on_alloc,
		      on_read);
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct map *map = listener->data;
	struct connection *connection;

	if (status < 0)
		return;
	connection = calloc(1, sizeof(*connection));
	if (!connection)
		abort();
	connection->open = 2;
	connection->silent = cut;
	connection->caller.other = &connection->server;
	connection->server.other = &connection->caller;
	uv_tcp_init(listener->loop, &connection->caller.tcp);
	uv_tcp_init(listener->loop, &connection->server.tcp);
	connection->caller.tcp.data = connection;
	connection->server.tcp.data = connection;
	connection->connect.data = connection;
	DL_APPEND(connections, connection);
	if (uv_accept(listener, (uv_stream_t *)&connection->caller.tcp)) {
		close_connection(connection);
		return;
	}
	if (!cut &&
	    uv_tcp_connect(&connection->connect, &connection->server.tcp,
			   (struct sockaddr *)&map->target, on_connected))
		close_connection(connection);
}

static void silence_all(void)
{
	struct connection *connection;

	DL_FOREACH(connections, connection)
	{
		connection->silent = true;
	}
}

static void on_signal(uv_signal_t *handle, int signum)
{
	(void)handle;
	if (signum != SIGHUP)
		silence_all();
	cut = signum == SIGUSR2;
}

static int add_map(char *text)
{
	char *target = strchr(text, '=');
	struct map *map = &maps[map_count];

	if (!target || map_count == MAPS_MAX)
		return zr_error_set(ZR_E_INVALID, "not LISTEN=TARGET: %s",
				    text);
	*target++ = '\0';
	snprintf(map->listen, sizeof(map->listen), "%s", text);
	map_count++;
	return zr_address_parse(&map->target, target);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	if (key != ARGP_KEY_ARG)
		return ARGP_ERR_UNKNOWN;
	if (add_map(arg) < 0)
		argp_error(state, "%s", zr_error_last());
	return 0;
}

int main(int argc, char **argv)
{
	static const int signals[] = {SIGUSR1, SIGUSR2, SIGHUP};
	static const struct argp argp = {NULL,
					 parse_option,
					 "LISTEN=TARGET...",
					 "Stands in for the network.",
					 NULL,
					 NULL,
					 NULL};
	static uv_signal_t handles[3];
	uv_loop_t *loop = uv_default_loop();
	size_t i;

	signal(SIGPIPE, SIG_IGN);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	for (i = 0; i < 3; i++) {
		uv_signal_init(loop, &handles[i]);
		uv_signal_start(&handles[i], on_signal, signals[i]);
	}
	for (i = 0; i < map_count; i++) {
		uv_tcp_init(loop, &maps[i].listener);
		maps[i].listener.data = &maps[i];
		if (zr_address_listen(&maps[i].listener, maps[i].listen,
				      on_accept) < 0) {
			fprintf(stderr, "%s\n", zr_error_last());
			return 1;
		}
	}
	return uv_run(loop, UV_RUN_DEFAULT);
}

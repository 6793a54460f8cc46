/*
 * Stand-in for the network in tests: forwards TCP connections and, on a signal,
 * simulates a partition. A silent connection stays open, but the relay drops
 * its data and doesn't pass on when an end closes it. Signals:
 *
 *	SIGUSR1  makes the open connections silent for good; new ones work
 *	SIGUSR2  also accepts new connections, which are silent from the start
 *	SIGHUP   lets new connections work again; silent ones stay silent
 *
 * With --mbps, all connections together carry that much in each direction: the
 * relay is then a link with little bandwidth, which the connections share.
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

#define MAPPINGS_MAX 64
#define CHUNK_BYTES 65536
/* Connections of a limited link take turns after this many bytes. */
#define LIMITED_CHUNK_BYTES 8192
/*
 * What a link with data to carry may catch up, since timers are late by up to a
 * millisecond.
 */
#define CATCH_UP_US 5000
#define US_PER_MS 1000
#define NS_PER_US 1000
#define BITS_PER_BYTE 8
#define HANDLES_PER_CONNECTION 4

/* An address that the relay listens on, and where it forwards to. */
struct mapping {
	char listen[ZR_ADDRESS_MAX];
	struct sockaddr_storage target;
	uv_tcp_t listener;
};

/**
 * struct endpoint - one side of a connection
 * @other: where the data that it receives goes
 * @timer: fires when the link has carried @held
 * @held: data on a limited link; nothing more is read meanwhile
 */
struct endpoint {
	uv_tcp_t tcp;
	struct connection *connection;
	struct endpoint *other;
	uv_timer_t timer;
	char held[LIMITED_CHUNK_BYTES];
	size_t held_length;
};

/**
 * struct connection - an accepted connection and the one to its target
 * @is_silent: whether its data is dropped
 * @open_handles: number of its handles that aren't closed yet
 */
struct connection {
	struct connection *prev;
	struct connection *next;
	struct endpoint client;
	struct endpoint server;
	uv_connect_t connect;
	bool is_silent;
	bool is_closing;
	int open_handles;
};

struct write_request {
	uv_write_t write;
	char *bytes;
};

static struct mapping mappings[MAPPINGS_MAX];
static size_t mapping_count;
static struct connection *connections;
static bool is_cut;	  /* SIGUSR2 is in effect: new connections are silent */
static unsigned int mbps; /* bandwidth of the link; 0: unlimited */
/* When the link has carried what it was given, to and from the clients. */
static uint64_t free_at_us[2];

static void on_handle_closed(uv_handle_t *handle)
{
	struct connection *connection = handle->data;

	if (--connection->open_handles)
		return;
	DL_DELETE(connections, connection);
	free(connection);
}

static void close_connection(struct connection *connection)
{
	if (connection->is_closing)
		return;
	connection->is_closing = true;
	uv_close((uv_handle_t *)&connection->client.tcp, on_handle_closed);
	uv_close((uv_handle_t *)&connection->server.tcp, on_handle_closed);
	uv_close((uv_handle_t *)&connection->client.timer, on_handle_closed);
	uv_close((uv_handle_t *)&connection->server.timer, on_handle_closed);
}

static void on_alloc(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buf)
{
	static char chunk[CHUNK_BYTES];

	(void)handle;
	(void)suggested_size;
	*buf = uv_buf_init(chunk, mbps ? LIMITED_CHUNK_BYTES : CHUNK_BYTES);
}

static void on_written(uv_write_t *write, int status)
{
	struct write_request *request = (struct write_request *)write;

	(void)status;
	free(request->bytes);
	free(request);
}

static void forward(struct endpoint *to, const char *bytes, size_t length)
{
	struct write_request *request = calloc(1, sizeof(*request));
	uv_buf_t buf;

	if (!request)
		abort();
	request->bytes = malloc(length);
	if (!request->bytes)
		abort();
	memcpy(request->bytes, bytes, length);
	buf = uv_buf_init(request->bytes, (unsigned int)length);
	if (uv_write(&request->write, (uv_stream_t *)&to->tcp, &buf, 1,
		     on_written))
		on_written(&request->write, 0);
}

static struct endpoint *get_endpoint(struct connection *connection,
				     const uv_stream_t *stream)
{
	if (stream == (uv_stream_t *)&connection->client.tcp)
		return &connection->client;
	return &connection->server;
}

static void on_read(uv_stream_t *stream, ssize_t length_read,
		    const uv_buf_t *buf);

static void on_carried(uv_timer_t *timer)
{
	struct connection *connection = timer->data;
	struct endpoint *from = timer == &connection->client.timer
					? &connection->client
					: &connection->server;

	if (connection->is_silent)
		return;
	forward(from->other, from->held, from->held_length);
	uv_read_start((uv_stream_t *)&from->tcp, on_alloc, on_read);
}

/* Forwards data when the link has carried it and all that came before. */
static void carry(struct endpoint *from, const char *bytes, size_t length)
{
	uint64_t now_us = uv_hrtime() / NS_PER_US;
	uint64_t *free_at = &free_at_us[from == &from->connection->client];

	if (*free_at < now_us - CATCH_UP_US)
		*free_at = now_us - CATCH_UP_US;
	*free_at += length * BITS_PER_BYTE / mbps;
	memcpy(from->held, bytes, length);
	from->held_length = length;
	uv_read_stop((uv_stream_t *)&from->tcp);
	uv_update_time(from->timer.loop);
	uv_timer_start(&from->timer, on_carried,
		       *free_at > now_us ? (*free_at - now_us) / US_PER_MS : 0,
		       0);
}

static void on_read(uv_stream_t *stream, ssize_t length_read,
		    const uv_buf_t *buf)
{
	struct connection *connection = stream->data;
	struct endpoint *from = get_endpoint(connection, stream);

	/* A silent connection drops its data and hides a close. */
	if (connection->is_silent || connection->is_closing)
		return;
	if (length_read < 0)
		close_connection(connection);
	else if (length_read > 0 && mbps)
		carry(from, buf->base, (size_t)length_read);
	else if (length_read > 0)
		forward(from->other, buf->base, (size_t)length_read);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct connection *connection = connect->data;

	if (status < 0 || connection->is_closing) {
		close_connection(connection);
		return;
	}
	uv_read_start((uv_stream_t *)&connection->client.tcp, on_alloc,
		      on_read);
	uv_read_start((uv_stream_t *)&connection->server.tcp, on_alloc,
		      on_read);
}

static void init_endpoint(struct endpoint *endpoint, struct endpoint *other,
			  struct connection *connection, uv_loop_t *loop)
{
	endpoint->connection = connection;
	endpoint->other = other;
	uv_tcp_init(loop, &endpoint->tcp);
	endpoint->tcp.data = connection;
	uv_timer_init(loop, &endpoint->timer);
	endpoint->timer.data = connection;
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct mapping *mapping = listener->data;
	struct connection *connection;

	if (status < 0)
		return;
	connection = calloc(1, sizeof(*connection));
	if (!connection)
		abort();
	connection->open_handles = HANDLES_PER_CONNECTION;
	connection->is_silent = is_cut;
	init_endpoint(&connection->client, &connection->server, connection,
		      listener->loop);
	init_endpoint(&connection->server, &connection->client, connection,
		      listener->loop);
	connection->connect.data = connection;
	DL_APPEND(connections, connection);
	if (uv_accept(listener, (uv_stream_t *)&connection->client.tcp)) {
		close_connection(connection);
		return;
	}
	if (!is_cut &&
	    uv_tcp_connect(&connection->connect, &connection->server.tcp,
			   (struct sockaddr *)&mapping->target, on_connected))
		close_connection(connection);
}

static void silence_connections(void)
{
	struct connection *connection;

	DL_FOREACH(connections, connection)
	{
		connection->is_silent = true;
	}
}

static void on_signal(uv_signal_t *handle, int signum)
{
	(void)handle;
	if (signum != SIGHUP)
		silence_connections();
	is_cut = signum == SIGUSR2;
}

static int add_mapping(char *text)
{
	char *target = strchr(text, '=');
	struct mapping *mapping = &mappings[mapping_count];

	if (!target || mapping_count == MAPPINGS_MAX)
		return zr_error_set(ZR_E_INVALID, "not LISTEN=TARGET: %s",
				    text);
	*target++ = '\0';
	snprintf(mapping->listen, sizeof(mapping->listen), "%s", text);
	mapping_count++;
	return zr_address_parse(&mapping->target, target);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	if (key == 'b') {
		mbps = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	}
	if (key != ARGP_KEY_ARG)
		return ARGP_ERR_UNKNOWN;
	if (add_mapping(arg) < 0)
		argp_error(state, "%s", zr_error_last());
	return 0;
}

int main(int argc, char **argv)
{
	static const int signal_numbers[] = {SIGUSR1, SIGUSR2, SIGHUP};
	static const struct argp_option options[] = {
		{"mbps", 'b', "N", 0,
		 "Megabits per second in each direction, by default unlimited",
		 0},
		{0},
	};
	static const struct argp argp = {options,
					 parse_option,
					 "LISTEN=TARGET...",
					 "Stand-in for the network in tests.",
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
		uv_signal_start(&handles[i], on_signal, signal_numbers[i]);
	}
	for (i = 0; i < mapping_count; i++) {
		uv_tcp_init(loop, &mappings[i].listener);
		mappings[i].listener.data = &mappings[i];
		if (zr_address_listen(&mappings[i].listener, mappings[i].listen,
				      on_accept) < 0) {
			fprintf(stderr, "%s\n", zr_error_last());
			return 1;
		}
	}
	return uv_run(loop, UV_RUN_DEFAULT);
}

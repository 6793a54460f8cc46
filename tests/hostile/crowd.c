/*
 * Opens many connections to servers under test and sends on each of them what a
 * client that does not behave may send, see content.c. Prints a line `ready
 * ...` when nothing more can be sent: every connection has sent everything, is
 * closed, or has been blocked for a while. The line `ended ...` follows at the
 * end; both have the same fields.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "content.h"
#include "net/address.h"
#include "zinniarack/errors.h"

#define TARGETS_MAX 16
#define TICK_MS 50
#define READ_BUFFER_BYTES 65536
/* Receive buffer of a connection that reads nothing. */
#define UNREAD_BUFFER_BYTES 4096
#define PERCENT 100
#define STATUS_CLASSES 6
#define STATUS_LINE_BEGIN "HTTP/1.1 "

enum {
	OPTION_SHORT = 256,
	OPTION_STAY,
	OPTION_BLOCKED_MS,
};

/**
 * struct target - a server under test
 * @mode: what its connections send
 * @path: path of their requests
 */
struct target {
	const struct content_mode *mode;
	struct sockaddr_storage address;
	char path[CONTENT_PATH_MAX];
};

enum connection_state {
	CONNECTION_CLOSED,
	CONNECTION_CONNECTING,
	CONNECTION_SENDING,
	CONNECTION_SENT,
};

/**
 * struct connection - a connection of the crowd, opened again when it is closed
 * @piece: what is written now
 * @open_count: number of times that it was opened
 * @is_complete: whether it sends its body to the end
 * @unsent_bytes: bytes of @piece that wait in the socket's queue
 * @progress_at_ms: when something was last sent, uv_now()
 */
struct connection {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	const struct target *target;
	struct content content;
	char piece[CONTENT_PIECE_MAX];
	enum connection_state state;
	unsigned long open_count;
	bool is_complete;
	bool is_closing;
	size_t unsent_bytes;
	uint64_t progress_at_ms;
};

static struct {
	uv_loop_t *loop;
	struct target targets[TARGETS_MAX];
	size_t target_count;
	const struct content_mode *mode;
	struct connection *connections;
	struct rng rng;
	/* Options */
	unsigned long connection_count;
	unsigned long body_bytes;
	unsigned long short_bytes;
	unsigned long complete_percent;
	unsigned long reconnects;
	unsigned long blocked_ms;
	unsigned long seed;
	bool stays;
	/* Results */
	bool is_ready;
	unsigned long opened;
	unsigned long refused;
	unsigned long closed_by_server;
	unsigned long long sent_bytes;
	unsigned long replies[STATUS_CLASSES];
} state;

/* Output */

static bool is_blocked(const struct connection *connection)
{
	return uv_now(state.loop) - connection->progress_at_ms >=
	       state.blocked_ms;
}

static void print_summary(const char *event)
{
	unsigned long counts[CONNECTION_SENT + 1] = {0};
	unsigned long i;

	for (i = 0; i < state.connection_count; i++)
		counts[state.connections[i].state]++;
	printf("%s connections=%lu opened=%lu refused=%lu "
	       "closed_by_server=%lu closed=%lu connecting=%lu blocked=%lu "
	       "sent=%lu sent_bytes=%llu replies_2xx=%lu replies_4xx=%lu "
	       "replies_5xx=%lu\n",
	       event, state.connection_count, state.opened, state.refused,
	       state.closed_by_server, counts[CONNECTION_CLOSED],
	       counts[CONNECTION_CONNECTING], counts[CONNECTION_SENDING],
	       counts[CONNECTION_SENT], state.sent_bytes, state.replies[2],
	       state.replies[4], state.replies[5]);
	fflush(stdout);
}

/* Connections */

static void on_closed(uv_handle_t *handle)
{
	struct connection *connection = handle->data;

	connection->is_closing = false;
	connection->state = CONNECTION_CLOSED;
}

static void close_connection(struct connection *connection)
{
	if (connection->is_closing)
		return;
	connection->is_closing = true;
	uv_close((uv_handle_t *)&connection->tcp, on_closed);
}

static void count_replies(const char *bytes, size_t length)
{
	const size_t begin_length = strlen(STATUS_LINE_BEGIN);
	const char *end = bytes + length;

	while ((bytes = memmem(bytes, (size_t)(end - bytes), STATUS_LINE_BEGIN,
			       begin_length))) {
		bytes += begin_length;
		if (bytes < end && *bytes >= '1' && *bytes <= '5')
			state.replies[*bytes - '0']++;
	}
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	/* Shared by all reads, which the loop runs one after the other. */
	static char buffer[READ_BUFFER_BYTES];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void on_read(uv_stream_t *tcp, ssize_t nread, const uv_buf_t *buf)
{
	struct connection *connection = tcp->data;

	if (nread >= 0) {
		count_replies(buf->base, (size_t)nread);
		return;
	}
	state.closed_by_server++;
	close_connection(connection);
}

static void send_next(struct connection *connection);

/* Counts what the socket has taken of the current piece. */
static void update_progress(struct connection *connection)
{
	size_t unsent =
		uv_stream_get_write_queue_size((uv_stream_t *)&connection->tcp);

	if (unsent == connection->unsent_bytes)
		return;
	state.sent_bytes += connection->unsent_bytes - unsent;
	connection->unsent_bytes = unsent;
	connection->progress_at_ms = uv_now(state.loop);
}

static void on_written(uv_write_t *write, int status)
{
	struct connection *connection = write->data;

	if (connection->is_closing)
		return;
	update_progress(connection);
	if (!status) {
		send_next(connection);
		return;
	}
	state.closed_by_server++;
	close_connection(connection);
}

static void send_next(struct connection *connection)
{
	size_t length = content_next(&connection->content, connection->piece);
	uv_buf_t buf = uv_buf_init(connection->piece, (unsigned int)length);

	if (!length) {
		connection->state = CONNECTION_SENT;
		return;
	}
	connection->write.data = connection;
	connection->unsent_bytes = length;
	if (uv_write(&connection->write, (uv_stream_t *)&connection->tcp, &buf,
		     1, on_written))
		close_connection(connection);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct connection *connection = connect->data;

	if (connection->is_closing)
		return;
	if (status) {
		state.refused++;
		close_connection(connection);
		return;
	}
	connection->state = CONNECTION_SENDING;
	connection->progress_at_ms = uv_now(state.loop);
	if (connection->target->mode->reads_replies)
		uv_read_start((uv_stream_t *)&connection->tcp, on_alloc,
			      on_read);
	send_next(connection);
}

static void open_connection(struct connection *connection)
{
	const struct target *target = connection->target;
	int receive_bytes = UNREAD_BUFFER_BYTES;

	content_init(&connection->content, target->mode, target->path,
		     state.body_bytes,
		     connection->is_complete ? 0 : state.short_bytes,
		     &state.rng);
	uv_tcp_init_ex(state.loop, &connection->tcp, target->address.ss_family);
	connection->tcp.data = connection;
	connection->connect.data = connection;
	connection->unsent_bytes = 0;
	connection->open_count++;
	connection->state = CONNECTION_CONNECTING;
	connection->progress_at_ms = uv_now(state.loop);
	state.opened++;
	if (!target->mode->reads_replies)
		uv_recv_buffer_size((uv_handle_t *)&connection->tcp,
				    &receive_bytes);
	if (uv_tcp_connect(&connection->connect, &connection->tcp,
			   (const struct sockaddr *)&target->address,
			   on_connected)) {
		state.refused++;
		close_connection(connection);
	}
}

/* Whether a connection has nothing more to do, at least for now. */
static bool is_settled(const struct connection *connection)
{
	switch (connection->state) {
	case CONNECTION_CLOSED:
		return connection->open_count > state.reconnects;
	case CONNECTION_SENT:
		return true;
	default:
		return is_blocked(connection);
	}
}

static void on_tick(uv_timer_t *timer)
{
	bool all_settled = true;
	unsigned long i;

	(void)timer;
	for (i = 0; i < state.connection_count; i++) {
		struct connection *connection = &state.connections[i];

		if (connection->state == CONNECTION_SENDING &&
		    !connection->is_closing)
			update_progress(connection);
		all_settled = all_settled && is_settled(connection);
		if (connection->state == CONNECTION_CLOSED &&
		    connection->open_count <= state.reconnects)
			open_connection(connection);
	}
	if (!all_settled || state.is_ready)
		return;
	state.is_ready = true;
	print_summary("ready");
	if (!state.stays)
		uv_stop(state.loop);
}

static void on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	uv_stop(handle->loop);
}

static void start_crowd(void)
{
	unsigned long i;

	state.rng.state = state.seed;
	state.connections =
		calloc(state.connection_count, sizeof(*state.connections));
	if (!state.connections)
		abort();
	for (i = 0; i < state.connection_count; i++) {
		struct connection *connection = &state.connections[i];

		connection->target = &state.targets[i % state.target_count];
		connection->is_complete = rng_chance(
			&state.rng, (uint32_t)state.complete_percent);
		open_connection(connection);
	}
}

/* Options */

static const struct number_option {
	int key;
	const char *name;
	unsigned long min;
	unsigned long max;
	unsigned long *value;
} number_options[] = {
	{'n', "connections", 1, 1000, &state.connection_count},
	{'b', "bytes", 1, 1ul << 30, &state.body_bytes},
	{OPTION_SHORT, "short", 0, 1ul << 30, &state.short_bytes},
	{'c', "complete", 0, PERCENT, &state.complete_percent},
	{'r', "reconnect", 0, 1000, &state.reconnects},
	{OPTION_BLOCKED_MS, "blocked-ms", 100, 60000, &state.blocked_ms},
	{'s', "seed", 0, UINT32_MAX, &state.seed},
};

static bool parse_number(int key, const char *arg,
			 struct argp_state *argp_state)
{
	const struct number_option *option = number_options;
	const struct number_option *end =
		option + sizeof(number_options) / sizeof(number_options[0]);
	char *rest;

	while (option < end && option->key != key)
		option++;
	if (option == end)
		return false;
	*option->value = strtoul(arg, &rest, 10);
	if (*arg < '0' || *arg > '9' || *rest || *option->value < option->min ||
	    *option->value > option->max)
		argp_error(argp_state, "--%s: '%s' is not from %lu to %lu",
			   option->name, arg, option->min, option->max);
	return true;
}

/* Parses [MODE=]ADDRESS[/PATH]. */
static void add_target(const char *text, struct argp_state *argp_state)
{
	struct target *target = &state.targets[state.target_count];
	const char *equals = strchr(text, '=');
	const char *address_text = equals ? equals + 1 : text;
	const char *path = strchr(address_text, '/');
	char address[ZR_ADDRESS_MAX];

	if (state.target_count == TARGETS_MAX)
		argp_error(argp_state, "more than %d addresses", TARGETS_MAX);
	if (equals)
		target->mode = content_mode_find(text, (size_t)(equals - text));
	if (equals && !target->mode)
		argp_error(argp_state, "unknown mode in '%s'", text);
	snprintf(target->path, sizeof(target->path), "%s", path ? path : "/");
	snprintf(address, sizeof(address), "%.*s",
		 (int)(path ? (size_t)(path - address_text)
			    : strlen(address_text)),
		 address_text);
	if (zr_address_parse(&target->address, address) < 0)
		argp_error(argp_state, "%s", zr_error_last());
	state.target_count++;
}

static void finish_options(struct argp_state *argp_state)
{
	size_t i;

	if (!state.target_count)
		argp_usage(argp_state);
	for (i = 0; i < state.target_count; i++) {
		if (!state.targets[i].mode)
			state.targets[i].mode = state.mode;
		if (!state.targets[i].mode)
			argp_error(argp_state, "no mode for an address");
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *argp_state)
{
	switch (key) {
	case 'm':
		state.mode = content_mode_find(arg, strlen(arg));
		if (!state.mode)
			argp_error(argp_state, "--mode: unknown mode '%s'",
				   arg);
		return 0;
	case OPTION_STAY:
		state.stays = true;
		return 0;
	case ARGP_KEY_ARG:
		add_target(arg, argp_state);
		return 0;
	case ARGP_KEY_END:
		finish_options(argp_state);
		return 0;
	default:
		return arg && parse_number(key, arg, argp_state)
			       ? 0
			       : ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{"mode", 'm', "MODE", 0,
	 "What is sent to each address that names no mode: announced (1 GiB "
	 "announced, BYTES sent), sent (chunks of 64 KiB), at-once (pieces of "
	 "128 KiB), pieces (of 4 KiB), large-chunks (64 KiB), small-chunks (1 "
	 "to 16 bytes), headers, open-headers, unread (requests whose replies "
	 "are not read), records (ONC RPC), idle (nothing)",
	 0},
	{"connections", 'n', "N", 0, "Connections, 1 to 1000 (default 96)", 0},
	{"bytes", 'b', "BYTES", 0,
	 "Length of a body or record, 1 to 2^30 (default 1000000; records "
	 "4000000; open-headers 400000; announced, sent, headers and unread 4 "
	 "MiB)",
	 0},
	{"short", OPTION_SHORT, "BYTES", 0,
	 "Stop this many bytes before the end, 0 to 2^30 (default 100)", 0},
	{"complete", 'c', "PERCENT", 0,
	 "Share of the connections that send all, 0 to 100 (default 0)", 0},
	{"reconnect", 'r', "N", 0,
	 "Open and send again a closed connection up to N times, 0 to 1000 "
	 "(default 0)",
	 0},
	{"stay", OPTION_STAY, NULL, 0, "Keep the connections until SIGTERM", 0},
	{"blocked-ms", OPTION_BLOCKED_MS, "MS", 0,
	 "A connection is blocked that has sent nothing for MS, 100 to 60000 "
	 "(default 1000)",
	 0},
	{"seed", 's', "N", 0, "Seed, 0 to 2^32-1 (default 1)", 0},
	{0},
};

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options,
		parse_option,
		"[MODE=]ADDRESS[/PATH]...",
		"Clients that do not behave, for tests. The connections are "
		"distributed over the addresses in turn.",
		NULL,
		NULL,
		NULL};
	static const int signal_numbers[] = {SIGTERM, SIGINT};
	static uv_signal_t handles[2];
	uv_timer_t timer;
	size_t i;

	state.connection_count = 96;
	state.short_bytes = 100;
	state.blocked_ms = 1000;
	state.seed = 1;
	signal(SIGPIPE, SIG_IGN);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	state.loop = uv_default_loop();
	for (i = 0; i < 2; i++) {
		uv_signal_init(state.loop, &handles[i]);
		uv_signal_start(&handles[i], on_signal, signal_numbers[i]);
	}
	uv_timer_init(state.loop, &timer);
	uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
	start_crowd();
	uv_run(state.loop, UV_RUN_DEFAULT);
	print_summary("ended");
	return 0;
}

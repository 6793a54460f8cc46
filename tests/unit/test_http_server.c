/*
 * The HTTP and RPC servers with slow and hostile callers. Such callers must not
 * use unlimited memory or connections, and other callers must be served
 * meanwhile.
 */
#include <arpa/inet.h>
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fakes/raw_tcp.h"
#include "net/address.h"
#include "net/http_server.h"
#include "net/rpc_server.h"
#include "zinniarack/errors.h"

#define TEXT_MAX 65536
#define CONNECTIONS_MAX 8
#define REQUEST_TIMEOUT_MS 300
#define BODY_MAX 1000
#define FLOOD_CONNECTIONS 40
/* More than the socket buffers of both sides hold. */
#define LARGE_BYTES (32u << 20)
#define HEADER_BYTES (2u << 20)
#define GET(path) "GET " path " HTTP/1.1\r\nHost: x\r\n\r\n"

static uv_loop_t loop;
static struct zr_http_server *server;
static char address[ZR_ADDRESS_MAX];
static unsigned int handled;
static struct zr_http_exchange *held;
static bool disconnected;
static char large[LARGE_BYTES];

static void on_disconnect(void *ctx)
{
	(void)ctx;
	disconnected = true;
	held = NULL;
}

/* Replies with the path; /large has a long reply, /held waits for the test. */
static void on_request(void *ctx, struct zr_http_exchange *exchange)
{
	const char *path = zr_http_get_path(exchange);

	(void)ctx;
	handled++;
	if (!strcmp(path, "/large")) {
		zr_http_reply(exchange, 200, "text/plain", large, LARGE_BYTES);
		return;
	}
	if (!strcmp(path, "/held")) {
		held = exchange;
		zr_http_set_on_disconnect(exchange, on_disconnect, NULL);
		return;
	}
	zr_http_reply(exchange, 200, "text/plain", path, strlen(path));
}

/* Finds a free port; another process might still take it. */
static void find_free_address(void)
{
	close(raw_listen(address, sizeof(address)));
}

static void set_up(void)
{
	struct zr_http_server_options options = ZR_HTTP_SERVER_OPTIONS_INIT;

	uv_loop_init(&loop);
	options.max_connections = CONNECTIONS_MAX;
	options.request_timeout_ms = REQUEST_TIMEOUT_MS;
	options.max_body_bytes = BODY_MAX;
	find_free_address();
	ck_assert_int_eq(zr_http_server_new(&server, &loop, address, &options,
					    on_request, NULL),
			 0);
	handled = 0;
	held = NULL;
	disconnected = false;
}

static void expect_text(int fd, const char *text)
{
	char got[TEXT_MAX];

	ck_assert_msg(raw_read(&loop, fd, got, sizeof(got), text),
		      "no '%s' in '%s'", text, got);
}

/* Checks that a new caller with a valid request is served. */
static void expect_served(void)
{
	int fd = raw_connect(address);

	raw_send(fd, GET("/well"), strlen(GET("/well")));
	expect_text(fd, "/well");
	close(fd);
}

START_TEST(test_slow_sender_is_disconnected)
{
	int slow = raw_connect(address);
	char got[TEXT_MAX];

	raw_send(slow, "GET / HTT", 9);
	expect_served();
	ck_assert(raw_read(&loop, slow, got, sizeof(got), NULL));
	ck_assert_uint_eq(handled, 1);
	close(slow);
}
END_TEST

START_TEST(test_slow_body_is_disconnected)
{
	static const char head[] =
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf";
	int slow = raw_connect(address);
	char got[TEXT_MAX];

	raw_send(slow, head, strlen(head));
	expect_served();
	ck_assert(raw_read(&loop, slow, got, sizeof(got), NULL));
	ck_assert_uint_eq(handled, 1);
	close(slow);
}
END_TEST

START_TEST(test_oversized_header)
{
	char *header = malloc(HEADER_BYTES);
	int fd = raw_connect(address);
	size_t sent = 0;
	char got[TEXT_MAX];

	raw_send(fd, "GET / HTTP/1.1\r\n", 16);
	memset(header, 'a', HEADER_BYTES);
	/*
	 * The server must close the connection; what it does not read stays in
	 * the socket buffers.
	 */
	while (sent < HEADER_BYTES && sent < 8UL * TEXT_MAX) {
		raw_send(fd, header + sent, 1024);
		sent += 1024;
		uv_run(&loop, UV_RUN_NOWAIT);
	}
	raw_read(&loop, fd, got, sizeof(got), NULL);
	ck_assert_uint_eq(handled, 0);
	close(fd);
	free(header);
	expect_served();
}
END_TEST

START_TEST(test_oversized_body)
{
	static const char head[] =
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n";
	int fd = raw_connect(address);

	raw_send(fd, head, strlen(head));
	expect_text(fd, "HTTP/1.1 413");
	ck_assert_uint_eq(handled, 0);
	close(fd);
}
END_TEST

START_TEST(test_many_connections_do_not_lock_others_out)
{
	int flood[FLOOD_CONNECTIONS];
	int busy = raw_connect(address);
	int i;

	raw_send(busy, GET("/held"), strlen(GET("/held")));
	while (!held)
		uv_run(&loop, UV_RUN_NOWAIT);
	for (i = 0; i < FLOOD_CONNECTIONS; i++) {
		flood[i] = raw_connect(address);
		uv_run(&loop, UV_RUN_NOWAIT);
	}
	expect_served();
	/* Only idle connections were closed to admit the new one. */
	ck_assert(!disconnected);
	zr_http_reply(held, 200, "text/plain", "kept", 4);
	expect_text(busy, "kept");
	for (i = 0; i < FLOOD_CONNECTIONS; i++)
		close(flood[i]);
	close(busy);
}
END_TEST

/* The server must drop a reply that its caller does not read, and free it. */
START_TEST(test_slow_reader_is_disconnected)
{
	int fd = raw_connect(address);
	bool freed = false;
	int tries;

	raw_send(fd, GET("/large"), strlen(GET("/large")));
	while (!handled)
		uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_uint_eq(zr_http_server_open_exchanges(server), 1);
	for (tries = 0; tries < 1000 && !freed; tries++) {
		expect_served();
		usleep(20000);
		freed = !zr_http_server_open_exchanges(server);
	}
	ck_assert(freed);
	close(fd);
}
END_TEST

START_TEST(test_pipelined_in_order)
{
	static const char text[] = GET("/held") GET("/second");
	int fd = raw_connect(address);

	raw_send(fd, text, strlen(text));
	while (!held)
		uv_run(&loop, UV_RUN_NOWAIT);
	/* A connection processes one request at a time. */
	ck_assert_uint_eq(handled, 1);
	zr_http_reply(held, 200, "text/plain", "/first", 6);
	expect_text(fd, "/second");
	ck_assert_uint_eq(handled, 2);
	close(fd);
}
END_TEST

/* A caller that has shut down only its sending side must get its response. */
START_TEST(test_half_closed_caller)
{
	int fd = raw_connect(address);

	raw_send(fd, GET("/held"), strlen(GET("/held")));
	shutdown(fd, SHUT_WR);
	while (!held)
		uv_run(&loop, UV_RUN_NOWAIT);
	expect_served();
	zr_http_reply(held, 200, "text/plain", "kept", 4);
	expect_text(fd, "kept");
	close(fd);
}
END_TEST

/*
 * h2o does not read from a connection while a request on it is in progress, so
 * the server notices only when it replies that the caller has disconnected. The
 * reply is dropped.
 */
START_TEST(test_caller_disconnected)
{
	int fd = raw_connect(address);

	raw_send(fd, GET("/held"), strlen(GET("/held")));
	while (!held)
		uv_run(&loop, UV_RUN_NOWAIT);
	close(fd);
	zr_http_reply(held, 200, "text/plain", "lost", 4);
	expect_served();
	ck_assert_uint_eq(zr_http_server_open_exchanges(server), 0);
}
END_TEST

START_TEST(test_response_has_content_length)
{
	int fd = raw_connect(address);

	raw_send(fd, GET("/a"), strlen(GET("/a")));
	expect_text(fd, "Content-Length: 2\r\n");
	close(fd);
}
END_TEST

START_TEST(test_draining_ends_connections)
{
	int fd = raw_connect(address);
	char got[TEXT_MAX];

	zr_http_server_drain(server);
	raw_send(fd, GET("/a"), strlen(GET("/a")));
	ck_assert(raw_read(&loop, fd, got, sizeof(got), NULL));
	ck_assert_ptr_nonnull(strstr(got, "/a"));
	close(fd);
}
END_TEST

/* RPC */

static const struct zr_rpc_dispatch_entry no_services[] = {{NULL, NULL}};

START_TEST(test_invalid_rpc_records)
{
	static const char *const garbage[] = {
		/* A record mark without the last-fragment bit. */
		"GET / HTTP/1.1\r\n\r\n",
		/* A record larger than the maximum. */
		"\xff\xff\xff\xff garbage",
		/* A record that is not an RPC call. */
		"\x80\x00\x00\x08xxxxxxxx"};
	static const size_t lengths[] = {18, 12, 12};
	struct zr_rpc_server *rpc;
	char got[TEXT_MAX];
	size_t i;
	int fd;

	find_free_address();
	ck_assert_int_eq(zr_rpc_server_new(&rpc, &loop, address, 1, 1,
					   no_services, NULL),
			 0);
	for (i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
		fd = raw_connect(address);
		raw_send(fd, garbage[i], lengths[i]);
		ck_assert(raw_read(&loop, fd, got, sizeof(got), NULL));
		close(fd);
	}
	zr_rpc_server_free(rpc);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("http_server");
	TCase *tests = tcase_create("callers");
	SRunner *runner;
	int failed;

	signal(SIGPIPE, SIG_IGN);
	tcase_set_timeout(tests, 120);
	tcase_add_checked_fixture(tests, set_up, NULL);
	tcase_add_test(tests, test_slow_sender_is_disconnected);
	tcase_add_test(tests, test_slow_body_is_disconnected);
	tcase_add_test(tests, test_oversized_header);
	tcase_add_test(tests, test_oversized_body);
	tcase_add_test(tests, test_many_connections_do_not_lock_others_out);
	tcase_add_test(tests, test_slow_reader_is_disconnected);
	tcase_add_test(tests, test_pipelined_in_order);
	tcase_add_test(tests, test_half_closed_caller);
	tcase_add_test(tests, test_caller_disconnected);
	tcase_add_test(tests, test_response_has_content_length);
	tcase_add_test(tests, test_draining_ends_connections);
	tcase_add_test(tests, test_invalid_rpc_records);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

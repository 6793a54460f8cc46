#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include "fakes/raw_tcp.h"
#include "net/address.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "rpc/procedures.h"
#include "zinniarack/errors.h"

#define DEFAULT_PORT_BASE 21000
#define PORT_OFFSET 950
#define TIMEOUT_MS 50
#define LONG_TIMEOUT_MS 5000

static uv_loop_t loop;
static struct zr_rpc_server *server;
static struct zr_rpc_client *client;
static struct zr_rpc_call *held;
static int first_error;
static int second_error;

static zx_status_result status = {
	.name = "a",
	.domain = "sohar",
};

/* Does not reply to the first call until the test ends; replies to others. */
static void serve_status(void *ctx, struct zr_rpc_call *call, void *args)
{
	(void)ctx;
	(void)args;
	if (!held)
		held = call;
	else
		zr_rpc_reply(call, &status);
}

static const struct zr_rpc_dispatch_entry services[] = {
	{&zr_proc_status, serve_status},
	{NULL, NULL},
};

static void set_up(void)
{
	const char *base = getenv("ZR_PORT");
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 (base ? atoi(base) : DEFAULT_PORT_BASE) + PORT_OFFSET);
	held = NULL;
	first_error = 1;
	second_error = 1;
	uv_loop_init(&loop);
	ck_assert_int_eq(zr_rpc_server_new(&server, &loop, address,
					   ZX_SCHEDULER, ZX_SCHEDULER_V1,
					   services, NULL),
			 0);
	ck_assert_int_eq(zr_rpc_client_new(&client, &loop, address,
					   ZX_SCHEDULER, ZX_SCHEDULER_V1),
			 0);
}

static void tear_down(void)
{
	if (held)
		zr_rpc_reply(held, &status);
	zr_rpc_client_free(client);
	zr_rpc_server_free(server);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

static void on_second(void *ctx, int error, void *result)
{
	(void)ctx;
	(void)result;
	second_error = error;
}

static void on_first(void *ctx, int error, void *result)
{
	zx_status_args args = {0};

	(void)ctx;
	(void)result;
	first_error = error;
	zr_rpc_client_call(client, &zr_proc_status, &args, LONG_TIMEOUT_MS,
			   on_second, NULL);
}

START_TEST(test_call_after_a_timeout_uses_a_new_connection)
{
	zx_status_args args = {0};

	zr_rpc_client_call(client, &zr_proc_status, &args, TIMEOUT_MS, on_first,
			   NULL);
	while (second_error == 1)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(first_error, ZR_E_OUTCOME_UNKNOWN);
	ck_assert_int_eq(second_error, 0);
}
END_TEST

START_TEST(test_refused_connection_ends_calls_as_unreachable)
{
	zx_status_args args = {0};

	zr_rpc_server_stop(server);
	uv_run(&loop, UV_RUN_NOWAIT);
	zr_rpc_client_call(client, &zr_proc_status, &args, LONG_TIMEOUT_MS,
			   on_second, NULL);
	while (second_error == 1)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(second_error, ZR_E_UNREACHABLE);
}
END_TEST

/* Replies that arrive in parts */

#define NS_PER_MS 1000000ULL
#define POLL_INTERVAL_US 200
#define RECORD_MARK_BYTES 4
#define LAST_FRAGMENT_BIT 0x80000000u
#define STALL_US 400000
#define REPLY_BYTES_MAX 1024

static int raw_listener;
static struct zr_rpc_client *raw_client; /* of a server that the test plays */
static struct zr_rpc_procedure large;	 /* as status, with a silence_ms */

static void set_up_raw(void)
{
	char address[ZR_ADDRESS_MAX];

	first_error = 1;
	second_error = 1;
	uv_loop_init(&loop);
	raw_listener = raw_listen(address, sizeof(address));
	ck_assert_int_eq(zr_rpc_client_new(&raw_client, &loop, address,
					   ZX_SCHEDULER, ZX_SCHEDULER_V1),
			 0);
	large = zr_proc_status;
}

static void tear_down_raw(void)
{
	zr_rpc_client_free(raw_client);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
	close(raw_listener);
}

static uint64_t now_ms(void)
{
	return uv_hrtime() / NS_PER_MS;
}

static void run_for(unsigned int ms)
{
	uint64_t end = now_ms() + ms;

	while (now_ms() < end) {
		uv_run(&loop, UV_RUN_NOWAIT);
		usleep(POLL_INTERVAL_US);
	}
}

static void run_until_ended(const int *error)
{
	uint64_t end = now_ms() + 20000;

	while (*error == 1 && now_ms() < end)
		run_for(1);
	ck_assert_int_ne(*error, 1);
}

static void on_large(void *ctx, int error, void *result)
{
	const zx_status_result *reply = result;

	(void)ctx;
	first_error = error;
	if (reply)
		ck_assert_str_eq(reply->domain, "sohar");
}

static void call_large(unsigned int timeout_ms, unsigned int silence_ms,
		       unsigned int transfer_max_ms)
{
	zx_status_args args = {0};

	large.silence_ms = silence_ms;
	large.transfer_max_ms = transfer_max_ms;
	zr_rpc_client_call(raw_client, &large, &args, timeout_ms, on_large,
			   NULL);
}

/* Waits for a call and returns its transaction id. */
static uint32_t read_xid(int fd)
{
	uint32_t words[2] = {0};
	size_t length = 0;
	uint64_t end = now_ms() + 20000;
	char rest[REPLY_BYTES_MAX];

	while (length < sizeof(words) && now_ms() < end) {
		ssize_t got = recv(fd, (char *)words + length,
				   sizeof(words) - length, MSG_DONTWAIT);

		if (got > 0)
			length += (size_t)got;
		else
			run_for(1);
	}
	ck_assert_uint_eq(length, sizeof(words));
	recv(fd, rest, sizeof(rest), MSG_DONTWAIT);
	return ntohl(words[1]);
}

/* Encodes the reply to a call with its record mark; returns its length. */
static size_t encode_reply(char *out, uint32_t xid)
{
	struct rpc_msg reply = {0};
	uint32_t mark;
	XDR xdrs;

	reply.rm_xid = xid;
	reply.rm_direction = REPLY;
	reply.rm_reply.rp_stat = MSG_ACCEPTED;
	reply.acpted_rply.ar_verf = _null_auth;
	reply.acpted_rply.ar_stat = SUCCESS;
	reply.acpted_rply.ar_results.where = (caddr_t)&status;
	reply.acpted_rply.ar_results.proc = zr_proc_status.result_codec;
	xdrmem_create(&xdrs, out + RECORD_MARK_BYTES,
		      REPLY_BYTES_MAX - RECORD_MARK_BYTES, XDR_ENCODE);
	ck_assert(xdr_replymsg(&xdrs, &reply));
	mark = htonl(LAST_FRAGMENT_BIT | xdr_getpos(&xdrs));
	memcpy(out, &mark, sizeof(mark));
	return RECORD_MARK_BYTES + xdr_getpos(&xdrs);
}

/* Sends a reply in @parts, of @part_ms each, until the large call ends. */
static void send_in_parts(int fd, uint32_t xid, size_t parts,
			  unsigned int part_ms)
{
	char reply[REPLY_BYTES_MAX];
	size_t length = encode_reply(reply, xid);
	size_t sent = 0;
	size_t i;

	for (i = 1; i <= parts && first_error == 1; i++) {
		size_t end = length * i / parts;

		raw_send(fd, reply + sent, end - sent);
		sent = end;
		run_for(part_ms);
	}
}

/* A reply of a megabyte over a thin link was cut off by a timeout of 500 ms. */
START_TEST(test_arriving_reply_outlasts_the_timeout)
{
	int fd;

	call_large(500, 1000, 20000);
	fd = raw_accept(&loop, raw_listener);
	send_in_parts(fd, read_xid(fd), 6, 300);
	run_until_ended(&first_error);
	ck_assert_int_eq(first_error, 0);
	close(fd);
}
END_TEST

/* A host that has stopped in the middle must not hold a call for long. */
START_TEST(test_stalled_reply_fails_after_the_silence)
{
	uint64_t begun;
	int fd;

	call_large(300, 500, 20000);
	fd = raw_accept(&loop, raw_listener);
	read_xid(fd);
	raw_send(fd, "\x80\0\1\0", 4);
	begun = now_ms();
	run_until_ended(&first_error);
	ck_assert_int_eq(first_error, ZR_E_OUTCOME_UNKNOWN);
	ck_assert_uint_ge(now_ms() - begun, 400);
	ck_assert_uint_lt(now_ms() - begun, 10000);
	close(fd);
}
END_TEST

/* A host that sends a byte now and then must not hold a call for ever. */
START_TEST(test_trickling_reply_ends_at_the_bound)
{
	uint64_t begun;
	int fd;

	call_large(200, 5000, 300);
	fd = raw_accept(&loop, raw_listener);
	begun = now_ms();
	send_in_parts(fd, read_xid(fd), 40, 100);
	ck_assert_int_eq(first_error, ZR_E_OUTCOME_UNKNOWN);
	ck_assert_uint_ge(now_ms() - begun, 400);
	close(fd);
}
END_TEST

/* Calls that need their end in time get it although bytes arrive. */
START_TEST(test_timeout_of_the_whole_call_is_the_default)
{
	int fd;

	call_large(300, 0, 0);
	fd = raw_accept(&loop, raw_listener);
	send_in_parts(fd, read_xid(fd), 40, 100);
	ck_assert_int_eq(first_error, ZR_E_OUTCOME_UNKNOWN);
	close(fd);
}
END_TEST

/*
 * A short call that waits behind a large reply ends at its timeout. It must not
 * take the connection down, and with it the reply that is arriving.
 */
START_TEST(test_short_call_does_not_cut_off_a_large_reply)
{
	zx_status_args args = {0};
	uint32_t xid;
	int fd;

	call_large(500, 1000, 20000);
	fd = raw_accept(&loop, raw_listener);
	xid = read_xid(fd);
	zr_rpc_client_call(raw_client, &zr_proc_status, &args, 200, on_second,
			   NULL);
	send_in_parts(fd, xid, 6, 300);
	run_until_ended(&first_error);
	ck_assert_int_eq(second_error, ZR_E_OUTCOME_UNKNOWN);
	ck_assert_int_eq(first_error, 0);
	close(fd);
}
END_TEST

/* As test_response_that_waits_after_a_stall() of the HTTP client. */
START_TEST(test_reply_that_waits_after_a_stall)
{
	char reply[REPLY_BYTES_MAX];
	int fd;

	call_large(200, 0, 0);
	fd = raw_accept(&loop, raw_listener);
	raw_send(fd, reply, encode_reply(reply, read_xid(fd)));
	usleep(STALL_US);
	run_until_ended(&first_error);
	ck_assert_int_eq(first_error, 0);
	close(fd);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rpc_client");
	TCase *tcase = tcase_create("rpc_client");
	TCase *parts = tcase_create("parts");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_call_after_a_timeout_uses_a_new_connection);
	tcase_add_test(tcase,
		       test_refused_connection_ends_calls_as_unreachable);
	suite_add_tcase(suite, tcase);
	tcase_set_timeout(parts, 120);
	tcase_add_checked_fixture(parts, set_up_raw, tear_down_raw);
	tcase_add_test(parts, test_arriving_reply_outlasts_the_timeout);
	tcase_add_test(parts, test_stalled_reply_fails_after_the_silence);
	tcase_add_test(parts, test_trickling_reply_ends_at_the_bound);
	tcase_add_test(parts, test_timeout_of_the_whole_call_is_the_default);
	tcase_add_test(parts, test_short_call_does_not_cut_off_a_large_reply);
	tcase_add_test(parts, test_reply_that_waits_after_a_stall);
	suite_add_tcase(suite, parts);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

/*
 * The budget that the connections of all servers of a process share: which of
 * them are closed to keep it, and that real servers keep it together.
 */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "fakes/raw_tcp.h"
#include "net/address.h"
#include "net/budget.h"
#include "net/http_server.h"
#include "net/rpc_server.h"
#include "zinniarack/errors.h"

#define BUDGET_BYTES ((size_t)512 << 10)
#define SERVERS_BUDGET_BYTES ((size_t)1 << 20)
#define LARGE_BYTES ((size_t)200 << 10)
#define CONNECTIONS 12
#define TEXT_MAX 65536
#define RECORD_BYTES 400000

static struct zr_metrics *metrics;
static struct zr_net_budget *budget;
/* Names of the accounts that were reclaimed, of one letter each. */
static char reclaimed[64];
static size_t reclaimed_count;

static void new_budget(size_t bytes)
{
	memset(reclaimed, 0, sizeof(reclaimed));
	reclaimed_count = 0;
	ck_assert_int_eq(zr_metrics_new(&metrics), 0);
	ck_assert_int_eq(
		zr_net_budget_new(&budget, bytes, zr_clock_system(), metrics),
		0);
}

static void set_up(void)
{
	new_budget(BUDGET_BYTES);
}

static void tear_down(void)
{
	zr_net_budget_free(budget);
	zr_metrics_free(metrics);
}

static void on_reclaim(void *ctx)
{
	const char *name = ctx;

	ck_assert_uint_lt(reclaimed_count, sizeof(reclaimed) - 1);
	reclaimed[reclaimed_count++] = name[0];
}

static zr_handle open_account(const char *name, enum zr_net_class class,
			      size_t bytes, enum zr_net_state state)
{
	zr_handle account =
		zr_net_account_open(budget, class, on_reclaim, (void *)name);

	zr_net_account_set(budget, account, bytes, bytes, state);
	return account;
}

/* Out of memory: a stalled request kept its memory, and new ones added theirs.
 */
START_TEST(test_stalled_requests_go_first)
{
	zr_handle a =
		open_account("a", ZR_NET_CALLER, LARGE_BYTES, ZR_NET_RECEIVING);

	open_account("b", ZR_NET_CALLER, LARGE_BYTES, ZR_NET_RECEIVING);
	/* It makes progress, and "b" does not. */
	zr_net_account_set(budget, a, LARGE_BYTES, LARGE_BYTES + 8192,
			   ZR_NET_RECEIVING);
	ck_assert(zr_net_budget_enforce(budget));
	ck_assert_str_eq(reclaimed, "");
	open_account("c", ZR_NET_CALLER, LARGE_BYTES, ZR_NET_RECEIVING);
	ck_assert(zr_net_budget_enforce(budget));
	ck_assert_str_eq(reclaimed, "b");
	/* "b" is still being closed, and counts no more. */
	ck_assert(zr_net_budget_enforce(budget));
	ck_assert_str_eq(reclaimed, "b");
}
END_TEST

/* A few bytes at a time are no progress. */
START_TEST(test_trickling_request_is_stalled)
{
	zr_handle a =
		open_account("a", ZR_NET_CALLER, LARGE_BYTES, ZR_NET_RECEIVING);

	open_account("b", ZR_NET_CALLER, LARGE_BYTES, ZR_NET_RECEIVING);
	zr_net_account_set(budget, a, LARGE_BYTES, LARGE_BYTES + 1,
			   ZR_NET_RECEIVING);
	open_account("c", ZR_NET_CALLER, LARGE_BYTES, ZR_NET_RECEIVING);
	ck_assert(zr_net_budget_enforce(budget));
	ck_assert_str_eq(reclaimed, "a");
}
END_TEST

START_TEST(test_order_of_reclaims)
{
	open_account("s", ZR_NET_CALLER, 4096, ZR_NET_RECEIVING);
	open_account("r", ZR_NET_CALLER, LARGE_BYTES, ZR_NET_REPLYING);
	open_account("p", ZR_NET_PEER, LARGE_BYTES, ZR_NET_RECEIVING);
	open_account("h", ZR_NET_CALLER, LARGE_BYTES, ZR_NET_HANDLING);
	open_account("c", ZR_NET_CALLER, LARGE_BYTES, ZR_NET_RECEIVING);
	ck_assert(zr_net_budget_enforce(budget));
	ck_assert_str_eq(reclaimed, "cp");
	open_account("i", ZR_NET_CALLER, 2 * LARGE_BYTES, ZR_NET_HANDLING);
	ck_assert(!zr_net_budget_enforce(budget));
	ck_assert_str_eq(reclaimed, "cprs");
}
END_TEST

START_TEST(test_closed_account)
{
	zr_handle a = open_account("a", ZR_NET_CALLER, 2 * BUDGET_BYTES,
				   ZR_NET_HANDLING);

	ck_assert(!zr_net_budget_enforce(budget));
	zr_net_account_close(budget, a);
	ck_assert_uint_eq(zr_net_budget_used(budget), 0);
	ck_assert(zr_net_budget_enforce(budget));
}
END_TEST

/* Descriptors: idle connections gave way, and those in use did not. */
START_TEST(test_descriptors)
{
	struct rlimit limit;
	struct rlimit lowered;
	int i;

	getrlimit(RLIMIT_NOFILE, &limit);
	lowered = limit;
	lowered.rlim_cur = 64;
	setrlimit(RLIMIT_NOFILE, &lowered);
	tear_down();
	set_up();
	open_account("h", ZR_NET_CALLER, 1, ZR_NET_HANDLING);
	open_account("p", ZR_NET_PEER, 1, ZR_NET_RECEIVING);
	for (i = 2; i < 48; i++) {
		ck_assert(zr_net_budget_admit(budget));
		open_account("c", ZR_NET_CALLER, 1, ZR_NET_RECEIVING);
	}
	ck_assert_str_eq(reclaimed, "");
	for (i = 0; i < 6; i++) {
		ck_assert(zr_net_budget_admit(budget));
		open_account("d", ZR_NET_CALLER, 1, ZR_NET_HANDLING);
	}
	ck_assert(!zr_net_budget_admit(budget));
	ck_assert_str_eq(reclaimed, "ccccccc");
	setrlimit(RLIMIT_NOFILE, &limit);
}
END_TEST

/* Real servers */

static uv_loop_t loop;
static char http_address[ZR_ADDRESS_MAX];
static char other_address[ZR_ADDRESS_MAX];
static char rpc_address[ZR_ADDRESS_MAX];
static size_t body_length;

static void on_request(void *ctx, struct zr_http_exchange *exchange)
{
	(void)ctx;
	zr_http_get_body(exchange, &body_length);
	zr_http_reply(exchange, 200, "text/plain", "served", 6);
}

static void find_address(char address[ZR_ADDRESS_MAX])
{
	close(raw_listen(address, ZR_ADDRESS_MAX));
}

static void start_servers(void)
{
	static const struct zr_rpc_dispatch_entry no_procedures[] = {
		{NULL, NULL}};
	struct zr_http_server_options options = ZR_HTTP_SERVER_OPTIONS_INIT;
	struct zr_http_server *http;
	struct zr_http_server *other;
	struct zr_rpc_server *rpc;

	new_budget(SERVERS_BUDGET_BYTES);
	uv_loop_init(&loop);
	options.budget = budget;
	find_address(http_address);
	ck_assert_int_eq(zr_http_server_new(&http, &loop, http_address,
					    &options, on_request, NULL),
			 0);
	find_address(other_address);
	ck_assert_int_eq(zr_http_server_new(&other, &loop, other_address,
					    &options, on_request, NULL),
			 0);
	find_address(rpc_address);
	ck_assert_int_eq(zr_rpc_server_new(&rpc, &loop, rpc_address, 1, 1,
					   no_procedures, NULL),
			 0);
	zr_rpc_server_set_budget(rpc, budget);
}

static void run_loop(int times)
{
	while (times--) {
		uv_run(&loop, UV_RUN_NOWAIT);
		usleep(1000);
	}
}

/* Sends the head of a message and @bytes of it; does not block for long. */
static int send_part(const char *address, const char *head, size_t head_length,
		     size_t bytes)
{
	static char body[RECORD_BYTES];
	int fd = raw_connect(address);
	size_t sent = 0;

	raw_send(fd, head, head_length);
	while (sent < bytes) {
		size_t part = bytes - sent < 8192 ? bytes - sent : 8192;

		raw_send(fd, body, part);
		sent += part;
		uv_run(&loop, UV_RUN_NOWAIT);
	}
	run_loop(5);
	return fd;
}

static int send_body(const char *address, size_t announced, size_t sent)
{
	char head[128];
	int length = snprintf(head, sizeof(head),
			      "POST / HTTP/1.1\r\nHost: x\r\n"
			      "Content-Length: %zu\r\n\r\n",
			      announced);

	return send_part(address, head, (size_t)length, sent);
}

static void expect_served(const char *address, size_t length)
{
	int fd = send_body(address, length, length);
	char got[TEXT_MAX];

	ck_assert(raw_read(&loop, fd, got, sizeof(got), "served"));
	ck_assert_uint_eq(body_length, length);
	close(fd);
}

/* A single request of a legal size is served if it fits the whole budget. */
START_TEST(test_large_request_in_calm)
{
	start_servers();
	expect_served(http_address, LARGE_BYTES);
}
END_TEST

/* Out of memory: each listener had limits of its own. */
START_TEST(test_one_budget_for_all_listeners)
{
	static const char record[] = "\x80\x06\x1a\x80"; /* of 400,000 bytes */
	int fds[CONNECTIONS];
	int i;

	start_servers();
	for (i = 0; i < CONNECTIONS; i++) {
		if (i % 3 == 2)
			fds[i] = send_part(rpc_address, record, 4, LARGE_BYTES);
		else
			fds[i] = send_body(i % 3 ? other_address : http_address,
					   LARGE_BYTES + 1, LARGE_BYTES);
		ck_assert_uint_le(zr_net_budget_used(budget),
				  SERVERS_BUDGET_BYTES);
	}
	expect_served(http_address, 100);
	expect_served(other_address, LARGE_BYTES);
	for (i = 0; i < CONNECTIONS; i++)
		close(fds[i]);
	run_loop(20);
	ck_assert_uint_le(zr_net_budget_used(budget), LARGE_BYTES);
}
END_TEST

/* A caller whose request is not taken is told when to come back. */
START_TEST(test_reclaimed_caller_is_told)
{
	char got[TEXT_MAX];
	int fds[5];
	int i;

	start_servers();
	for (i = 0; i < 5; i++)
		fds[i] = send_body(http_address, LARGE_BYTES + 1, LARGE_BYTES);
	ck_assert(raw_read(&loop, fds[0], got, sizeof(got), "Retry-After: 1"));
	ck_assert_ptr_nonnull(strstr(got, "HTTP/1.1 503"));
	for (i = 0; i < 5; i++)
		close(fds[i]);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("net_budget");
	TCase *accounts = tcase_create("accounts");
	TCase *servers = tcase_create("servers");
	SRunner *runner = srunner_create(suite);
	int failed;

	signal(SIGPIPE, SIG_IGN);
	tcase_add_checked_fixture(accounts, set_up, tear_down);
	tcase_add_test(accounts, test_stalled_requests_go_first);
	tcase_add_test(accounts, test_trickling_request_is_stalled);
	tcase_add_test(accounts, test_order_of_reclaims);
	tcase_add_test(accounts, test_closed_account);
	tcase_add_test(accounts, test_descriptors);
	tcase_set_timeout(servers, 120);
	tcase_add_test(servers, test_large_request_in_calm);
	tcase_add_test(servers, test_one_budget_for_all_listeners);
	tcase_add_test(servers, test_reclaimed_caller_is_told);
	suite_add_tcase(suite, accounts);
	suite_add_tcase(suite, servers);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

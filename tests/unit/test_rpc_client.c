#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

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

int main(void)
{
	Suite *suite = suite_create("rpc_client");
	TCase *tcase = tcase_create("rpc_client");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_call_after_a_timeout_uses_a_new_connection);
	tcase_add_test(tcase,
		       test_refused_connection_ends_calls_as_unreachable);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

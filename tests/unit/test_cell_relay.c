/*
 * Calls to the store through another host over real connections: the largest
 * configuration must pass.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "cell/relay.h"
#include "fakes/fake_time.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "zinniarack/errors.h"

#define DEFAULT_PORT_BASE 21000
#define PORT_OFFSET 960
#define VALUE_BYTES 1048576
#define TIMEOUT_MS 5000

static const struct zr_rpc_procedure procedure = {
	.number = ZX_CELL_STORE,
	.args_codec = (xdrproc_t)xdr_zx_cell_store_args,
	.result_codec = (xdrproc_t)xdr_zx_cell_store_result,
	.args_size = sizeof(zx_cell_store_args),
	.result_size = sizeof(zx_cell_store_result),
};

/* A host and the store that it reaches directly. */
struct host {
	bool store_down;
	char *value;
	struct zr_store direct;
	struct zr_store relayed;
	struct zr_store_health *health;
	struct zr_cell_relay *relay;
};

static uv_loop_t loop;
static struct fake_time *fake;
static struct zr_metrics *metrics;
static struct zr_rpc_server *server;
static struct zr_rpc_client *client;
static struct host cut;	  /* has lost the store */
static struct host other; /* reaches it */
static bool done;

/* The store */

static void store_range(void *impl, enum zr_store_purpose purpose,
			const char *key, bool prefix, zr_store_done_fn on_done,
			void *ctx)
{
	const struct host *host = impl;
	const struct zr_store_value value = {
		.key = (char *)key,
		.data = host->value,
		.length = VALUE_BYTES,
		.mod_revision = 7,
	};
	const struct zr_store_reply reply = {
		.succeeded = true, .values = &value, .count = 1};

	(void)purpose;
	(void)prefix;
	if (host->store_down)
		on_done(ctx, ZR_E_STORE_DOWN, NULL);
	else
		on_done(ctx, 0, &reply);
}

static void store_commit(void *impl, enum zr_store_purpose purpose,
			 const struct zr_store_txn *txn,
			 zr_store_done_fn on_done, void *ctx)
{
	const struct host *host = impl;
	const struct zr_store_reply reply = {.succeeded = true};

	(void)purpose;
	if (host->store_down) {
		on_done(ctx, ZR_E_STORE_DOWN, NULL);
		return;
	}
	ck_assert_uint_eq(txn->puts[0].length, VALUE_BYTES);
	ck_assert(!memcmp(txn->puts[0].data, host->value, VALUE_BYTES));
	on_done(ctx, 0, &reply);
}

static void store_free(void *impl)
{
	(void)impl;
}

static const struct zr_store_ops store_ops = {
	.range = store_range,
	.commit = store_commit,
	.free = store_free,
};

/* The connection between the hosts */

struct sent_call {
	zr_cell_relay_done_fn done;
	void *ctx;
};

static void on_reply(void *ctx, int error, void *result)
{
	struct sent_call *call = ctx;

	call->done(call->ctx, error, result);
	free(call);
}

static bool send_to_other(void *ctx, const zx_cell_store_args *args,
			  unsigned int timeout_ms,
			  zr_cell_relay_done_fn on_done, void *done_ctx)
{
	struct sent_call *call = calloc(1, sizeof(*call));

	(void)ctx;
	(void)timeout_ms;
	call->done = on_done;
	call->ctx = done_ctx;
	zr_rpc_client_call(client, &procedure, (void *)args, TIMEOUT_MS,
			   on_reply, call);
	return true;
}

static void on_served(void *ctx, int error, const zx_cell_store_result *result)
{
	(void)error;
	zr_rpc_reply(ctx, (void *)result);
}

static void serve(void *ctx, struct zr_rpc_call *call, void *args)
{
	(void)ctx;
	zr_cell_relay_serve(other.relay, args, on_served, call);
}

static const struct zr_rpc_dispatch_entry services[] = {
	{&procedure, serve},
	{NULL, NULL},
};

static void set_up_host(struct host *host, bool store_down)
{
	const struct zr_store store = {&store_ops, host};
	size_t i;

	host->store_down = store_down;
	host->value = malloc(VALUE_BYTES);
	for (i = 0; i < VALUE_BYTES; i++)
		host->value[i] = (char)(i * 31 + i / 4096);
	zr_store_health_new(&host->health, &host->direct, &store,
			    fake_time_clock(fake));
	zr_cell_relay_new(&host->relay, &host->relayed, &host->direct,
			  host->health, fake_time_timers(fake),
			  fake_time_clock(fake), metrics);
}

static void set_up(void)
{
	const char *base = getenv("ZR_PORT");
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 (base ? atoi(base) : DEFAULT_PORT_BASE) + PORT_OFFSET);
	done = false;
	uv_loop_init(&loop);
	fake = fake_time_new();
	zr_metrics_new(&metrics);
	set_up_host(&cut, true);
	set_up_host(&other, false);
	ck_assert_int_eq(zr_rpc_server_new(&server, &loop, address, ZX_CELL,
					   ZX_CELL_V1, services, NULL),
			 0);
	ck_assert_int_eq(
		zr_rpc_client_new(&client, &loop, address, ZX_CELL, ZX_CELL_V1),
		0);
	zr_cell_relay_set_sender(cut.relay, send_to_other, NULL);
}

static void tear_down(void)
{
	zr_rpc_client_free(client);
	zr_rpc_server_free(server);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
	zr_store_free(&cut.relayed);
	zr_store_free(&other.relayed);
	free(cut.value);
	free(other.value);
	zr_metrics_free(metrics);
	fake_time_free(fake);
}

static void on_read(void *ctx, int error, const struct zr_store_reply *reply)
{
	(void)ctx;
	ck_assert_int_eq(error, 0);
	ck_assert_uint_eq(reply->count, 1);
	ck_assert_uint_eq(reply->values[0].length, VALUE_BYTES);
	ck_assert(!memcmp(reply->values[0].data, cut.value, VALUE_BYTES));
	done = true;
}

static void on_written(void *ctx, int error, const struct zr_store_reply *reply)
{
	(void)ctx;
	ck_assert_int_eq(error, 0);
	ck_assert(reply->succeeded);
	done = true;
}

static void run_until_done(void)
{
	while (!done)
		uv_run(&loop, UV_RUN_ONCE);
}

/* A configuration of the largest size must reach a host that lost the store. */
START_TEST(test_largest_value_is_read_through_another_host)
{
	zr_store_range(&cut.relayed, ZR_STORE_CONFIG, "op/config", true,
		       on_read, NULL);
	run_until_done();
}
END_TEST

START_TEST(test_largest_value_is_written_through_another_host)
{
	const struct zr_store_put put = {"k", cut.value, VALUE_BYTES, 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};

	zr_store_commit(&cut.relayed, ZR_STORE_OTHER, &txn, on_written, NULL);
	run_until_done();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_relay");
	TCase *tests = tcase_create("large");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_checked_fixture(tests, set_up, tear_down);
	tcase_add_test(tests, test_largest_value_is_read_through_another_host);
	tcase_add_test(tests,
		       test_largest_value_is_written_through_another_host);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

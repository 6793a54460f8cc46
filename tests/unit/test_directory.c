#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/directory.h"
#include "fakes/fake_time.h"
#include "net/rpc_server.h"
#include "rpc/procedures.h"
#include "zinniarack/errors.h"

#define SCHEDULERS 3
#define PORT_OFFSET 900
#define WAIT_MAX_MS 5000
#define HELD_MAX 32

/* A scheduler with a scripted status, served on the event loop of the test. */
struct scheduler {
	struct zr_rpc_server *server;
	zx_status_result status;
	bool unresponsive;
	/* Calls that are answered at the end of the test. */
	struct zr_rpc_call *held[HELD_MAX];
	size_t held_count;
};

static uv_loop_t loop;
static struct fake_time *fake;
static struct zr_directory *directory;
static struct scheduler schedulers[SCHEDULERS];
static struct zr_host hosts[SCHEDULERS];

static void serve_status(void *ctx, struct zr_rpc_call *call, void *args)
{
	struct scheduler *scheduler = ctx;

	(void)args;
	if (!scheduler->unresponsive) {
		zr_rpc_reply(call, &scheduler->status);
		return;
	}
	ck_assert_uint_lt(scheduler->held_count, HELD_MAX);
	scheduler->held[scheduler->held_count++] = call;
}

static const struct zr_rpc_dispatch_entry services[] = {
	{&zr_proc_status, serve_status},
	{NULL, NULL},
};

static void set_host(int i, const char *name, const char *domain)
{
	const char *base = getenv("ZR_PORT");
	int port = (base ? atoi(base) : 21000) + PORT_OFFSET + i;

	memset(&hosts[i], 0, sizeof(hosts[i]));
	hosts[i].kind = ZR_HOST_ENTRY;
	snprintf(hosts[i].name, sizeof(hosts[i].name), "%s", name);
	snprintf(hosts[i].domain, sizeof(hosts[i].domain), "%s", domain);
	snprintf(hosts[i].scheduler_address, sizeof(hosts[i].scheduler_address),
		 "127.0.0.1:%d", port);
}

static void serve(int i, bool active, uint64_t epoch)
{
	schedulers[i].status.name = hosts[i].name;
	schedulers[i].status.domain = hosts[i].domain;
	schedulers[i].status.active = active;
	schedulers[i].status.epoch = epoch;
	if (!schedulers[i].server)
		ck_assert_int_eq(zr_rpc_server_new(&schedulers[i].server, &loop,
						   hosts[i].scheduler_address,
						   ZX_SCHEDULER,
						   ZX_SCHEDULER_V1, services,
						   &schedulers[i]),
				 0);
}

static const char *active_address(const char *domain)
{
	struct zr_rpc_client *client =
		zr_directory_get_active(directory, domain);

	return client ? zr_rpc_client_address(client) : "";
}

/* Runs the loop until the domain's active scheduler has the given address. */
static void wait_active(const char *domain, const char *address)
{
	uint64_t deadline = uv_now(&loop) + WAIT_MAX_MS;

	while (strcmp(active_address(domain), address) &&
	       uv_now(&loop) < deadline)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_str_eq(active_address(domain), address);
}

static void set_up(void)
{
	uv_loop_init(&loop);
	fake = fake_time_new();
	memset(schedulers, 0, sizeof(schedulers));
	ck_assert_int_eq(
		zr_directory_new(&directory, &loop, fake_time_clock(fake)), 0);
	set_host(0, "a1", "a");
	set_host(1, "a2", "a");
	set_host(2, "a1", "a");
}

static void stop_server(struct scheduler *scheduler)
{
	while (scheduler->held_count)
		zr_rpc_reply(scheduler->held[--scheduler->held_count],
			     &scheduler->status);
	if (scheduler->server)
		zr_rpc_server_free(scheduler->server);
	scheduler->server = NULL;
}

static void tear_down(void)
{
	int i;

	zr_directory_free(directory);
	for (i = 0; i < SCHEDULERS; i++)
		stop_server(&schedulers[i]);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	fake_time_free(fake);
}

START_TEST(test_highest_epoch_is_active)
{
	serve(0, true, 4);
	serve(1, true, 5);
	zr_directory_set_hosts(directory, hosts, 2);
	wait_active("a", hosts[1].scheduler_address);
	/* The other, which was paused, still reports its older epoch. */
	serve(1, false, 0);
	wait_active("a", hosts[0].scheduler_address);
}
END_TEST

START_TEST(test_replaced_host_is_found_at_its_new_address)
{
	serve(0, true, 1);
	zr_directory_set_hosts(directory, hosts, 1);
	wait_active("a", hosts[0].scheduler_address);
	stop_server(&schedulers[0]);
	serve(2, true, 2);
	zr_directory_set_hosts(directory, &hosts[2], 1);
	wait_active("a", hosts[2].scheduler_address);
	fake_time_advance(fake, 3000);
	zr_directory_set_hosts(directory, &hosts[2], 1);
	wait_active("a", hosts[2].scheduler_address);
}
END_TEST

START_TEST(test_responding_host_missing_from_the_list_stays)
{
	serve(0, true, 1);
	zr_directory_set_hosts(directory, hosts, 1);
	wait_active("a", hosts[0].scheduler_address);
	zr_directory_set_hosts(directory, &hosts[1], 1);
	ck_assert_str_eq(active_address("a"), hosts[0].scheduler_address);
	/* It is neither listed nor responding, so it is removed. */
	fake_time_advance(fake, 3000);
	zr_directory_set_hosts(directory, &hosts[1], 1);
	ck_assert_str_eq(active_address("a"), "");
}
END_TEST

START_TEST(test_last_status_stays_valid_for_a_while)
{
	uint64_t deadline;

	serve(0, true, 1);
	zr_directory_set_hosts(directory, hosts, 1);
	wait_active("a", hosts[0].scheduler_address);
	schedulers[0].unresponsive = true;
	/* Longer than the timeout of a call. */
	deadline = uv_now(&loop) + 2500;
	while (uv_now(&loop) < deadline)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_str_eq(active_address("a"), hosts[0].scheduler_address);
	fake_time_advance(fake, 3000);
	ck_assert_str_eq(active_address("a"), "");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("directory");
	TCase *tcase = tcase_create("directory");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 30);
	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_highest_epoch_is_active);
	tcase_add_test(tcase, test_replaced_host_is_found_at_its_new_address);
	tcase_add_test(tcase, test_responding_host_missing_from_the_list_stays);
	tcase_add_test(tcase, test_last_status_stays_valid_for_a_while);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

#include <check.h>
#include <stdlib.h>

#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "store/rate_limit.h"
#include "zinniarack/errors.h"

#define WRITES_PER_S 10
#define BURST 5
#define WAITING_MAX 20
#define WAIT_MAX_MS 1000

static struct fake_net *net;
static struct fake_store *store;
static struct fake_node *node;
static struct zr_store limited;
static unsigned int succeeded;
static unsigned int refused;
static char done_order[64];
static size_t done_count;

static void set_up(void)
{
	struct zr_store inner;
	struct zr_store_rate_limit_options options = {
		.version = ZR_STORE_RATE_LIMIT_OPTIONS_VERSION,
		.writes_per_s = WRITES_PER_S,
		.reads_per_s = WRITES_PER_S,
		.burst = BURST,
		.max_waiting = WAITING_MAX,
		.max_wait_ms = WAIT_MAX_MS,
	};

	net = fake_net_new();
	store = fake_store_new(net, "store");
	node = fake_node_new(net, "a");
	options.timers = fake_time_timers(fake_node_time(node));
	options.clock = fake_time_clock(fake_node_time(node));
	fake_store_client(&inner, store, node);
	ck_assert_int_eq(zr_store_rate_limit_new(&limited, &inner, &options),
			 0);
	succeeded = 0;
	refused = 0;
	done_count = 0;
}

static void tear_down(void)
{
	zr_store_free(&limited);
	fake_store_free(store);
	fake_net_free(net);
}

static void on_done(void *ctx, int error, const struct zr_store_reply *reply)
{
	(void)reply;
	if (error == ZR_E_STORE_DOWN)
		refused++;
	else if (!error)
		succeeded++;
	if (!error && done_count + 1 < sizeof(done_order))
		done_order[done_count++] = *(const char *)ctx;
}

static void put(enum zr_store_purpose purpose, char *label)
{
	const struct zr_store_put put = {"key", "value", 5, 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};

	zr_store_commit(&limited, purpose, &txn, on_done, label);
}

START_TEST(test_calls_over_the_rate_are_queued)
{
	int i;

	for (i = 0; i < BURST + 5; i++)
		put(ZR_STORE_ACCEPT, "a");
	fake_net_advance(net, 50);
	ck_assert_uint_eq(succeeded, BURST);
	fake_net_advance(net, 250);
	ck_assert_uint_eq(succeeded, BURST + 2);
	fake_net_advance(net, 500);
	ck_assert_uint_eq(succeeded, BURST + 5);
	ck_assert_uint_eq(refused, 0);
}
END_TEST

/* Intents come before acceptances, and those before other writes. */
START_TEST(test_calls_are_sent_in_order_of_purpose)
{
	int i;

	for (i = 0; i < BURST; i++)
		put(ZR_STORE_ACCEPT, "-");
	put(ZR_STORE_OTHER, "o");
	put(ZR_STORE_ACCEPT, "a");
	put(ZR_STORE_INTENT, "i");
	fake_net_advance(net, 500);
	ck_assert_uint_eq(done_count, BURST + 3);
	ck_assert_mem_eq(done_order + BURST, "iao", 3);
}
END_TEST

START_TEST(test_new_call_does_not_overtake_a_queued_one)
{
	int i;

	for (i = 0; i < BURST; i++)
		put(ZR_STORE_ACCEPT, "-");
	fake_net_advance(net, 5);
	put(ZR_STORE_INTENT, "i");
	/* The bucket has a token, but the queue is not processed yet. */
	fake_net_advance(net, 97);
	put(ZR_STORE_OTHER, "o");
	fake_net_advance(net, 500);
	ck_assert_mem_eq(done_order + BURST, "io", 2);
}
END_TEST

START_TEST(test_lease_calls_are_not_queued)
{
	int i;

	for (i = 0; i < BURST + 5; i++)
		put(ZR_STORE_ACCEPT, "a");
	zr_store_lease_grant(&limited, 2000, on_done, "l");
	fake_net_advance(net, 5);
	ck_assert_uint_eq(succeeded, BURST + 1);
	ck_assert_uint_eq(fake_store_counts(store)->writes[ZR_STORE_LEASE], 1);
}
END_TEST

START_TEST(test_queue_is_bounded_in_length_and_time)
{
	int i;

	for (i = 0; i < BURST + WAITING_MAX + 7; i++)
		put(ZR_STORE_ACCEPT, "a");
	ck_assert_uint_eq(refused, 0);
	fake_net_advance(net, 20);
	ck_assert_uint_eq(refused, 7);
	fake_net_advance(net, 3000);
	ck_assert_uint_eq(succeeded + refused, BURST + WAITING_MAX + 7);
	ck_assert_uint_ge(refused, 7 + WAITING_MAX - WRITES_PER_S - 1);
	/* Refused calls have not reached the store. */
	ck_assert_uint_eq(fake_store_counts(store)->writes[ZR_STORE_ACCEPT],
			  succeeded);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store_rate_limit");
	TCase *tcase = tcase_create("store_rate_limit");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_calls_over_the_rate_are_queued);
	tcase_add_test(tcase, test_calls_are_sent_in_order_of_purpose);
	tcase_add_test(tcase, test_new_call_does_not_overtake_a_queued_one);
	tcase_add_test(tcase, test_lease_calls_are_not_queued);
	tcase_add_test(tcase, test_queue_is_bounded_in_length_and_time);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

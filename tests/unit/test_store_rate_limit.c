#include <check.h>
#include <stdlib.h>

#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "store/rate_limit.h"
#include "zinniarack/errors.h"

#define WRITES_PER_S 10
#define BURST 5
#define WAITING_MAX 20
#define WAIT_MS 1000

static struct fake_net *net;
static struct fake_store *store;
static struct fake_node *node;
static struct zr_store budget;
static unsigned int kept;
static unsigned int refused;
static char order[64];
static size_t order_length;

static void set_up(void)
{
	struct zr_store inner;
	struct zr_store_budget_options options = {
		.version = ZR_STORE_BUDGET_OPTIONS_VERSION,
		.writes_per_s = WRITES_PER_S,
		.reads_per_s = WRITES_PER_S,
		.burst = BURST,
		.waiting_max = WAITING_MAX,
		.wait_ms = WAIT_MS,
	};

	net = fake_net_new();
	store = fake_store_new(net, "store");
	node = fake_node_new(net, "a");
	options.timers = fake_time_timers(fake_node_time(node));
	options.clock = fake_time_clock(fake_node_time(node));
	fake_store_client(&inner, store, node);
	ck_assert_int_eq(zr_store_budget_new(&budget, &inner, &options), 0);
	kept = 0;
	refused = 0;
	order_length = 0;
}

static void tear_down(void)
{
	zr_store_free(&budget);
	fake_store_free(store);
	fake_net_free(net);
}

static void on_done(void *ctx, int error, const struct zr_store_reply *reply)
{
	(void)reply;
	if (error == ZR_E_STORE_DOWN)
		refused++;
	else if (!error)
		kept++;
	if (!error && order_length + 1 < sizeof(order))
		order[order_length++] = *(const char *)ctx;
}

static void put(enum zr_store_purpose purpose, char *mark)
{
	const struct zr_store_put put = {"key", "value", 5, 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};

	zr_store_commit(&budget, purpose, &txn, on_done, mark);
}

START_TEST(test_calls_over_the_rate_wait)
{
	int i;

	for (i = 0; i < BURST + 5; i++)
		put(ZR_STORE_ACCEPT, "a");
	fake_net_advance(net, 50);
	ck_assert_uint_eq(kept, BURST);
	fake_net_advance(net, 250);
	ck_assert_uint_eq(kept, BURST + 2);
	fake_net_advance(net, 500);
	ck_assert_uint_eq(kept, BURST + 5);
	ck_assert_uint_eq(refused, 0);
}
END_TEST

START_TEST(test_intents_go_before_acceptance_before_the_rest)
{
	int i;

	for (i = 0; i < BURST; i++)
		put(ZR_STORE_ACCEPT, "-");
	put(ZR_STORE_OTHER, "o");
	put(ZR_STORE_ACCEPT, "a");
	put(ZR_STORE_INTENT, "i");
	fake_net_advance(net, 500);
	ck_assert_uint_eq(order_length, BURST + 3);
	ck_assert_mem_eq(order + BURST, "iao", 3);
}
END_TEST

START_TEST(test_a_new_call_does_not_pass_one_that_waits)
{
	int i;

	for (i = 0; i < BURST; i++)
		put(ZR_STORE_ACCEPT, "-");
	fake_net_advance(net, 5);
	put(ZR_STORE_INTENT, "i");
	/* A token is there, and the next tick is not. */
	fake_net_advance(net, 97);
	put(ZR_STORE_OTHER, "o");
	fake_net_advance(net, 500);
	ck_assert_mem_eq(order + BURST, "io", 2);
}
END_TEST

START_TEST(test_leases_never_wait)
{
	int i;

	for (i = 0; i < BURST + 5; i++)
		put(ZR_STORE_ACCEPT, "a");
	zr_store_lease_grant(&budget, 2000, on_done, "l");
	fake_net_advance(net, 5);
	ck_assert_uint_eq(kept, BURST + 1);
	ck_assert_uint_eq(fake_store_counts(store)->writes[ZR_STORE_LEASE], 1);
}
END_TEST

START_TEST(test_what_waits_is_bounded_in_number_and_time)
{
	int i;

	for (i = 0; i < BURST + WAITING_MAX + 7; i++)
		put(ZR_STORE_ACCEPT, "a");
	ck_assert_uint_eq(refused, 0);
	fake_net_advance(net, 20);
	ck_assert_uint_eq(refused, 7);
	fake_net_advance(net, 3000);
	ck_assert_uint_eq(kept + refused, BURST + WAITING_MAX + 7);
	ck_assert_uint_ge(refused, 7 + WAITING_MAX - WRITES_PER_S - 1);
	/* What was refused took no effect. */
	ck_assert_uint_eq(fake_store_counts(store)->writes[ZR_STORE_ACCEPT],
			  kept);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("budget");
	TCase *tcase = tcase_create("budget");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_calls_over_the_rate_wait);
	tcase_add_test(tcase,
		       test_intents_go_before_acceptance_before_the_rest);
	tcase_add_test(tcase, test_a_new_call_does_not_pass_one_that_waits);
	tcase_add_test(tcase, test_leases_never_wait);
	tcase_add_test(tcase, test_what_waits_is_bounded_in_number_and_time);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

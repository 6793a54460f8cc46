/*
 * The health of the connection to the store, and what the relay makes of it: a
 * host's own link that is busy with a large response is not a store that is
 * away.
 */
#include <check.h>
#include <string.h>

#include "cell/relay.h"
#include "fakes/fake_time.h"
#include "store/health.h"
#include "zinniarack/errors.h"

#define CALLS_MAX 64

/* A store whose calls end when the test says so. */
static struct {
	zr_store_done_fn done[CALLS_MAX];
	void *ctx[CALLS_MAX];
	int count;
	bool receiving;
} inner;

static struct fake_time *fake;
static struct zr_store_health *health;
static struct zr_store store; /* with its health measured */
static struct zr_store relayed;
static struct zr_cell_relay *relay;
static struct zr_metrics *metrics;
static int sent_to_others;

static void inner_range(void *impl, enum zr_store_purpose purpose,
			const char *key, bool prefix, zr_store_done_fn done,
			void *ctx)
{
	(void)impl;
	(void)purpose;
	(void)key;
	(void)prefix;
	ck_assert_int_lt(inner.count, CALLS_MAX);
	inner.done[inner.count] = done;
	inner.ctx[inner.count++] = ctx;
}

static void finish(int call, int error)
{
	const struct zr_store_reply reply = {.succeeded = true};
	zr_store_done_fn done = inner.done[call];

	inner.done[call] = NULL;
	done(inner.ctx[call], error, error < 0 ? NULL : &reply);
}

static bool inner_receiving(void *impl)
{
	(void)impl;
	return inner.receiving;
}

static void inner_free(void *impl)
{
	int i;

	(void)impl;
	for (i = 0; i < inner.count; i++) {
		if (inner.done[i])
			finish(i, ZR_E_CANCELLED);
	}
}

static const struct zr_store_ops inner_ops = {
	.range = inner_range,
	.receiving = inner_receiving,
	.free = inner_free,
};

static bool send_to_other(void *ctx, const zx_cell_store_args *args,
			  unsigned int timeout_ms, zr_cell_relay_done_fn done,
			  void *done_ctx)
{
	(void)ctx;
	(void)args;
	(void)timeout_ms;
	(void)done;
	(void)done_ctx;
	sent_to_others++;
	return false;
}

static void set_up(void)
{
	const struct zr_store wrapped = {&inner_ops, NULL};

	memset(&inner, 0, sizeof(inner));
	sent_to_others = 0;
	fake = fake_time_new();
	zr_metrics_new(&metrics);
	ck_assert_int_eq(zr_store_health_new(&health, &store, &wrapped,
					     fake_time_clock(fake)),
			 0);
	ck_assert_int_eq(zr_cell_relay_new(&relay, &relayed, &store, health,
					   fake_time_timers(fake),
					   fake_time_clock(fake), metrics),
			 0);
	zr_cell_relay_set_sender(relay, send_to_other, NULL);
}

static void tear_down(void)
{
	zr_store_free(&relayed);
	zr_metrics_free(metrics);
	fake_time_free(fake);
}

static void on_done(void *ctx, int error, const struct zr_store_reply *reply)
{
	(void)ctx;
	(void)error;
	(void)reply;
}

static void read_key(void)
{
	zr_store_range(&relayed, ZR_STORE_OTHER, "k", false, on_done, NULL);
}

static void pass(unsigned int ms)
{
	fake_time_advance(fake, ms);
}

/* Reads that get their responses after a time. */
static void read_keys(int count, unsigned int response_ms)
{
	int i;

	for (i = 0; i < count; i++) {
		read_key();
		pass(response_ms);
		finish(inner.count - 1, 0);
	}
}

/* The time until a call without a response makes the connection suspect. */
static int64_t ms_until_suspect(void)
{
	int64_t begun_ms = fake_time_now_ms(fake);

	read_key();
	while (!zr_store_health_suspect_ms(health) &&
	       fake_time_now_ms(fake) < begun_ms + 60000)
		pass(10);
	return fake_time_now_ms(fake) - begun_ms;
}

/* The time that the own link needs made the store suspect. */
START_TEST(test_calls_are_not_overdue_while_a_response_arrives)
{
	read_keys(8, 20);
	inner.receiving = true;
	read_key();
	pass(2000);
	ck_assert_int_eq(zr_store_health_suspect_ms(health), 0);
	/* The same call without a sign of the store is overdue at once. */
	inner.receiving = false;
	ck_assert_int_ge(zr_store_health_suspect_ms(health), 2000);
}
END_TEST

/* Copies through other hosts would share the link that is busy. */
START_TEST(test_calls_are_not_relayed_while_a_response_arrives)
{
	read_keys(8, 20);
	inner.receiving = true;
	ck_assert(zr_store_receiving(&relayed));
	read_key();
	pass(2000);
	read_key();
	ck_assert_int_eq(sent_to_others, 0);
	inner.receiving = false;
	ck_assert(!zr_store_receiving(&relayed));
	pass(100);
	ck_assert_int_ge(sent_to_others, 2);
}
END_TEST

START_TEST(test_silent_store_is_suspect)
{
	read_keys(8, 20);
	ck_assert_int_eq(ms_until_suspect(), 160);
}
END_TEST

/*
 * A long transfer must not make the next failure be noticed later than a call
 * that just met the timeout of a call without a response.
 */
START_TEST(test_silent_store_is_suspect_after_a_long_transfer)
{
	int64_t after_slow_call_ms;

	read_keys(8, 20);
	read_keys(1, 1000);
	after_slow_call_ms = ms_until_suspect();
	tear_down();
	set_up();
	read_keys(8, 20);
	inner.receiving = true;
	read_keys(1, 8000);
	inner.receiving = false;
	ck_assert_int_eq(ms_until_suspect(), after_slow_call_ms);
}
END_TEST

/* Calls that fail make the connection suspect, although bytes arrive. */
START_TEST(test_failing_calls_are_suspect_while_a_response_arrives)
{
	read_keys(8, 20);
	inner.receiving = true;
	read_key();
	pass(10);
	finish(inner.count - 1, ZR_E_STORE_DOWN);
	ck_assert_int_gt(zr_store_health_suspect_ms(health), 0);
}
END_TEST

/*
 * A process that was suspended or busy took the store for lost, although the
 * responses were waiting to be read.
 */
START_TEST(test_own_stall_is_not_the_stores_silence)
{
	read_keys(8, 20);
	read_key();
	pass(100);
	fake_time_jump(fake, 3000);
	pass(50);
	ck_assert_int_eq(zr_store_health_suspect_ms(health), 0);
	ck_assert_int_eq(sent_to_others, 0);
	/* Nothing was waiting. */
	pass(200);
	ck_assert_int_gt(zr_store_health_suspect_ms(health), 0);
	ck_assert_int_gt(sent_to_others, 0);
}
END_TEST

/* A call that failed must not send a load again that is arriving. */
START_TEST(test_arriving_calls_are_not_relayed_after_a_failure)
{
	read_keys(8, 20);
	read_key();
	inner.receiving = true;
	read_key();
	pass(10);
	finish(inner.count - 1, ZR_E_STORE_DOWN);
	sent_to_others = 0;
	pass(500);
	ck_assert_int_eq(sent_to_others, 0);
	inner.receiving = false;
	pass(100);
	ck_assert_int_gt(sent_to_others, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store_health");
	TCase *tests = tcase_create("health");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tests, set_up, tear_down);
	tcase_add_test(tests,
		       test_calls_are_not_overdue_while_a_response_arrives);
	tcase_add_test(tests,
		       test_calls_are_not_relayed_while_a_response_arrives);
	tcase_add_test(tests, test_silent_store_is_suspect);
	tcase_add_test(tests,
		       test_silent_store_is_suspect_after_a_long_transfer);
	tcase_add_test(tests,
		       test_failing_calls_are_suspect_while_a_response_arrives);
	tcase_add_test(tests, test_own_stall_is_not_the_stores_silence);
	tcase_add_test(tests,
		       test_arriving_calls_are_not_relayed_after_a_failure);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

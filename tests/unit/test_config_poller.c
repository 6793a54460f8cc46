#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/config_poller.h"
#include "fakes/fake_store.h"
#include "zinniarack/errors.h"
#include "zinniarack/metrics.h"

#define KEY "op/config"

static struct fake_net *net;
static struct fake_store *fake;
static struct fake_node *operator_node;
static struct zr_cell_platform platform;
static struct zr_store operator_store;
static const struct zr_store_ops *fake_store_ops;
static struct zr_metrics *metrics;
static struct zr_cell_config_poller *poller;
static unsigned int changes;

/* A document is a version number; any other text is not usable. */
static int decode(struct zr_cell_config **out,
		  const struct zr_store_value *value)
{
	uint64_t version = strtoull(value->data, NULL, 10);
	struct zr_cell_config *config;

	if (!version)
		return ZR_E_PROTOCOL;
	config = calloc(1, sizeof(*config));
	config->version = version;
	*out = config;
	return 0;
}

static void on_change(void *ctx, const struct zr_cell_config *config)
{
	(void)ctx;
	(void)config;
	changes++;
}

static void on_written(void *ctx, int error, const struct zr_store_reply *reply)
{
	(void)ctx;
	(void)reply;
	ck_assert_int_eq(error, 0);
}

static void write_config(const char *text)
{
	const struct zr_store_put put = {KEY, text, strlen(text) + 1, 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};

	zr_store_commit(&operator_store, ZR_STORE_OTHER, &txn, on_written,
			NULL);
}

static void setup(void)
{
	struct fake_node *host;

	net = fake_net_new();
	fake = fake_store_new(net, "store");
	host = fake_node_new(net, "host");
	operator_node = fake_node_new(net, "operator");
	fake_store_client(&operator_store, fake, operator_node);
	fake_store_client(&platform.store, fake, host);
	platform.config_prefix = KEY;
	platform.config_decode = decode;
	zr_metrics_new(&metrics);
	changes = 0;
	write_config("1");
	fake_net_advance(net, 5);
	ck_assert_int_eq(zr_cell_config_poller_new(
				 &poller,
				 fake_time_timers(fake_node_time(host)),
				 fake_time_clock(fake_node_time(host)),
				 &platform, metrics, on_change, NULL),
			 0);
	fake_net_advance(net, 50);
}

static void teardown(void)
{
	zr_cell_config_poller_free(poller);
	zr_store_free(&platform.store);
	zr_store_free(&operator_store);
	fake_store_free(fake);
	fake_net_free(net);
	zr_metrics_free(metrics);
}

static unsigned long reads(void)
{
	return fake_store_counts(fake)->reads[ZR_STORE_CONFIG];
}

static uint64_t version(void)
{
	return zr_cell_config_poller_config(poller)->version;
}

static void check_age_stays_below(int64_t max_ms, unsigned int ms)
{
	for (; ms; ms--) {
		fake_net_advance(net, 1);
		ck_assert_int_lt(zr_cell_config_poller_age_ms(poller), max_ms);
	}
}

START_TEST(test_change_is_applied_at_once)
{
	ck_assert_uint_eq(version(), 1);
	fake_net_advance(net, 700);
	write_config("2");
	fake_net_advance(net, 10);
	ck_assert_uint_eq(version(), 2);
	ck_assert_uint_eq(changes, 2);
}
END_TEST

/* A large configuration is not sent again as long as it does not change. */
START_TEST(test_unchanged_configuration_is_not_read_again)
{
	unsigned long before = reads();

	check_age_stays_below(1200, 30000);
	ck_assert_uint_eq(reads(), before);
}
END_TEST

/* A watch that reports no changes, though there may be some. */
static void watch_another_key(void *impl, const char *prefix,
			      int64_t after_revision, unsigned int wait_ms,
			      zr_store_done_fn done, void *ctx)
{
	(void)prefix;
	fake_store_ops->watch(impl, "other/", after_revision, wait_ms, done,
			      ctx);
}

/* A change that the watch has missed is found by a check. */
START_TEST(test_change_missed_by_watch)
{
	struct zr_store_ops ops = *platform.store.ops;

	fake_store_ops = platform.store.ops;
	ops.watch = watch_another_key;
	platform.store.ops = &ops;
	fake_net_advance(net, 1500);
	write_config("2");
	fake_net_advance(net, 3300);
	ck_assert_uint_eq(version(), 2);
	check_age_stays_below(1200, 5000);
	platform.store.ops = fake_store_ops;
}
END_TEST

static void watch_nothing(void *impl, const char *prefix,
			  int64_t after_revision, unsigned int wait_ms,
			  zr_store_done_fn done, void *ctx)
{
	(void)prefix;
	fake_store_ops->watch(impl, "other/", after_revision, 60 * wait_ms,
			      done, ctx);
}

static bool always_receiving(void *impl)
{
	(void)impl;
	return true;
}

/*
 * A response that arrives for long may be another one than the configuration:
 * checks must not wait for its end.
 */
START_TEST(test_checks_during_another_transfer)
{
	struct zr_store_ops ops = *platform.store.ops;

	fake_store_ops = platform.store.ops;
	ops.watch = watch_nothing;
	ops.receiving = always_receiving;
	platform.store.ops = &ops;
	check_age_stays_below(3500, 15000);
	platform.store.ops = fake_store_ops;
}
END_TEST

/* Without a configuration there is none, and it is read when there is one. */
START_TEST(test_deleted_configuration)
{
	const struct zr_store_put put = {KEY, NULL, 0, 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};

	zr_store_commit(&operator_store, ZR_STORE_OTHER, &txn, on_written,
			NULL);
	fake_net_advance(net, 4000);
	ck_assert_uint_eq(version(), 1);
	write_config("2");
	fake_net_advance(net, 1000);
	ck_assert_uint_eq(version(), 2);
}
END_TEST

/* A watch that hangs must not hide a change for longer than two seconds. */
START_TEST(test_hanging_watch_is_noticed)
{
	fake_net_advance(net, 100);
	fake_net_set_link(net, "store", "host", FAKE_LINK_DROP);
	fake_net_advance(net, 5);
	write_config("2");
	fake_net_advance(net, 900);
	fake_net_set_link(net, "store", "host", FAKE_LINK_PASS);
	fake_net_advance(net, 1000);
	ck_assert_uint_eq(version(), 2);
}
END_TEST

/* The age grows while the store does not respond, so that keys stop working. */
START_TEST(test_age_grows_without_responses)
{
	fake_net_set_link(net, "store", "host", FAKE_LINK_DROP);
	fake_net_advance(net, 5000);
	ck_assert_int_ge(zr_cell_config_poller_age_ms(poller), 3900);
}
END_TEST

/* A document that cannot be used may withdraw keys: it confirms none. */
START_TEST(test_unusable_document_confirms_nothing)
{
	fake_net_advance(net, 100);
	write_config("not a number");
	fake_net_advance(net, 5000);
	ck_assert_uint_eq(version(), 1);
	ck_assert_int_ge(zr_cell_config_poller_age_ms(poller), 3900);
	write_config("3");
	fake_net_advance(net, 1000);
	ck_assert_uint_eq(version(), 3);
	ck_assert_int_lt(zr_cell_config_poller_age_ms(poller), 1200);
}
END_TEST

static unsigned int checks;

/* Reports a key that does not exist any more, without a value. */
static void report_missing_key(void *impl, enum zr_store_purpose purpose,
			       const struct zr_store_txn *txn,
			       zr_store_done_fn done, void *ctx)
{
	const struct zr_store_value value = {.key = KEY};
	const struct zr_store_reply reply = {.values = &value, .count = 1};

	(void)impl;
	(void)purpose;
	(void)txn;
	ck_assert_uint_lt(++checks, 100);
	done(ctx, 0, &reply);
}

/* A reply that lists the deleted key must not be followed by checks at once. */
START_TEST(test_reply_with_a_missing_key)
{
	const struct zr_store_put put = {KEY, NULL, 0, 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};
	struct zr_store_ops ops = *platform.store.ops;

	checks = 0;
	zr_store_commit(&operator_store, ZR_STORE_OTHER, &txn, on_written,
			NULL);
	fake_store_ops = platform.store.ops;
	ops.commit = report_missing_key;
	platform.store.ops = &ops;
	check_age_stays_below(3500, 10000);
	platform.store.ops = fake_store_ops;
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config_poller");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_change_is_applied_at_once);
	tcase_add_test(tcase, test_unchanged_configuration_is_not_read_again);
	tcase_add_test(tcase, test_change_missed_by_watch);
	tcase_add_test(tcase, test_checks_during_another_transfer);
	tcase_add_test(tcase, test_deleted_configuration);
	tcase_add_test(tcase, test_reply_with_a_missing_key);
	tcase_add_test(tcase, test_hanging_watch_is_noticed);
	tcase_add_test(tcase, test_age_grows_without_responses);
	tcase_add_test(tcase, test_unusable_document_confirms_nothing);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

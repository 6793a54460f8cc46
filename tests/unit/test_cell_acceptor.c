#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cell/acceptor.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"

#define WAIT_MS 2800

static struct fake_net *net;
static struct fake_store *store;
static struct fake_node *host;
static struct zr_store direct;
static struct zr_store watched;
static struct zr_store_health *health;
static struct zr_metrics *metrics;
static struct zr_cell_accept *accept_;

struct outcome {
	int count;
	enum zr_cell_accepted outcome;
	long at_ms;
};

static void on_outcome(void *ctx, enum zr_cell_accepted outcome)
{
	struct outcome *out = ctx;

	out->count++;
	out->outcome = outcome;
	out->at_ms = fake_net_now_ms(net);
}

static void accept_job(const char *id, struct outcome *out)
{
	struct zr_cell_bytes record = {strdup("job"), 3};

	memset(out, 0, sizeof(*out));
	zr_cell_accept_job(accept_, id, record, WAIT_MS, on_outcome, out);
}

static void set_up(void)
{
	net = fake_net_new();
	store = fake_store_new(net, "store");
	host = fake_node_new(net, "host");
	fake_store_client(&direct, store, host);
	zr_metrics_new(&metrics);
	ck_assert_int_eq(
		zr_store_health_new(&health, &watched, &direct,
				    fake_time_clock(fake_node_time(host))),
		0);
	ck_assert_int_eq(
		zr_cell_accept_new(&accept_,
				   fake_time_timers(fake_node_time(host)),
				   fake_time_clock(fake_node_time(host)),
				   &watched, health, metrics),
		0);
}

static void tear_down(void)
{
	zr_cell_accept_free(accept_);
	zr_store_free(&watched);
	zr_metrics_free(metrics);
	fake_store_free(store);
	fake_net_free(net);
}

START_TEST(test_accepts_once)
{
	static struct outcome first;
	static struct outcome again;
	static struct outcome other;

	accept_job("j1", &first);
	fake_net_advance(net, 5);
	ck_assert_int_eq(first.count, 1);
	ck_assert_int_eq(first.outcome, ZR_CELL_ACCEPTED);
	/* An id that is known must not stop the others of its transaction. */
	accept_job("j1", &again);
	accept_job("j2", &other);
	fake_net_advance(net, 10);
	ck_assert_int_eq(again.outcome, ZR_CELL_ACCEPTED_BEFORE);
	ck_assert_int_eq(other.count, 1);
	ck_assert_int_eq(other.outcome, ZR_CELL_ACCEPTED);
}
END_TEST

START_TEST(test_cut_refuses_what_was_not_sent)
{
	static struct outcome sent;
	static struct outcome kept;
	long cut_ms;

	fake_net_link(net, "host", "store", FAKE_LINK_DROP);
	cut_ms = fake_net_now_ms(net);
	accept_job("j1", &sent);
	fake_net_advance(net, 300);
	accept_job("j2", &kept);
	fake_net_advance(net, 400);
	/* Never sent, so it is refused, and soon. */
	ck_assert_int_eq(kept.count, 1);
	ck_assert_int_eq(kept.outcome, ZR_CELL_REFUSED);
	ck_assert_int_le(kept.at_ms - cut_ms - 300, 300);
	/* Sent: nobody knows, until its caller's time is over. */
	ck_assert_int_eq(sent.count, 0);
	fake_net_advance(net, WAIT_MS);
	ck_assert_int_eq(sent.count, 1);
	ck_assert_int_eq(sent.outcome, ZR_CELL_UNDECIDED);
	ck_assert_int_le(sent.at_ms - cut_ms, WAIT_MS + 50);
}
END_TEST

START_TEST(test_lost_answer_is_settled)
{
	static struct outcome lost;

	fake_net_link(net, "store", "host", FAKE_LINK_DROP);
	accept_job("j1", &lost);
	fake_net_advance(net, 100);
	fake_net_link(net, "store", "host", FAKE_LINK_PASS);
	fake_net_advance(net, 1200);
	ck_assert_int_eq(lost.count, 1);
	ck_assert_int_eq(lost.outcome, ZR_CELL_ACCEPTED_BEFORE);
}
END_TEST

START_TEST(test_one_lost_answer_is_no_lost_way)
{
	static struct outcome lost;
	static struct outcome later;

	fake_net_link(net, "store", "host", FAKE_LINK_DROP);
	accept_job("j1", &lost);
	fake_net_advance(net, 3);
	fake_net_link(net, "store", "host", FAKE_LINK_PASS);
	accept_job("j2", &later);
	fake_net_advance(net, 10);
	ck_assert_int_eq(later.outcome, ZR_CELL_ACCEPTED);
	fake_net_advance(net, 300);
	ck_assert_int_eq(zr_store_health_suspect_ms(health), 0);
}
END_TEST

START_TEST(test_refusing_store)
{
	static struct outcome refused;

	fake_net_link(net, "host", "store", FAKE_LINK_REFUSE);
	accept_job("j1", &refused);
	fake_net_advance(net, 400);
	ck_assert_int_eq(refused.count, 1);
	ck_assert_int_eq(refused.outcome, ZR_CELL_REFUSED);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_accept");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_accepts_once);
	tcase_add_test(tcase, test_cut_refuses_what_was_not_sent);
	tcase_add_test(tcase, test_lost_answer_is_settled);
	tcase_add_test(tcase, test_one_lost_answer_is_no_lost_way);
	tcase_add_test(tcase, test_refusing_store);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

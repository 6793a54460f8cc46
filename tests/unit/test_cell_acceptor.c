#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cell/acceptor.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"

/* Time until the caller needs the outcome. */
#define WAIT_MS 2800

static struct fake_net *net;
static struct fake_store *store;
static struct fake_node *host;
static struct zr_store client;
static struct zr_store monitored; /* the client, with its health monitored */
static struct zr_store_health *health;
static struct zr_metrics *metrics;
static struct zr_cell_acceptor *acceptor;

struct result {
	int count;
	enum zr_cell_accept_outcome outcome;
	long at_ms;
};

static void on_outcome(void *ctx, enum zr_cell_accept_outcome outcome)
{
	struct result *out = ctx;

	out->count++;
	out->outcome = outcome;
	out->at_ms = fake_net_now_ms(net);
}

static void accept_job(const char *id, struct result *out)
{
	struct zr_cell_buffer record = {strdup("job"), 3};

	memset(out, 0, sizeof(*out));
	zr_cell_acceptor_write_job(acceptor, id, record, WAIT_MS, on_outcome,
				   out);
}

static void set_up(void)
{
	net = fake_net_new();
	store = fake_store_new(net, "store");
	host = fake_node_new(net, "host");
	fake_store_client(&client, store, host);
	zr_metrics_new(&metrics);
	ck_assert_int_eq(
		zr_store_health_new(&health, &monitored, &client,
				    fake_time_clock(fake_node_time(host))),
		0);
	ck_assert_int_eq(
		zr_cell_acceptor_new(&acceptor,
				     fake_time_timers(fake_node_time(host)),
				     fake_time_clock(fake_node_time(host)),
				     &monitored, health, metrics),
		0);
}

static void tear_down(void)
{
	zr_cell_acceptor_free(acceptor);
	zr_store_free(&monitored);
	zr_metrics_free(metrics);
	fake_store_free(store);
	fake_net_free(net);
}

START_TEST(test_known_job_is_not_accepted_again)
{
	static struct result first;
	static struct result again;
	static struct result other;

	accept_job("j1", &first);
	fake_net_advance(net, 5);
	ck_assert_int_eq(first.count, 1);
	ck_assert_int_eq(first.outcome, ZR_CELL_ACCEPTED);
	/* A known id must not fail the other jobs of its transaction. */
	accept_job("j1", &again);
	accept_job("j2", &other);
	fake_net_advance(net, 10);
	ck_assert_int_eq(again.outcome, ZR_CELL_ALREADY_ACCEPTED);
	ck_assert_int_eq(other.count, 1);
	ck_assert_int_eq(other.outcome, ZR_CELL_ACCEPTED);
}
END_TEST

START_TEST(test_disconnected_store_refuses_unsent_jobs)
{
	static struct result sent;
	static struct result unsent;
	long disconnected_ms;

	fake_net_set_link(net, "host", "store", FAKE_LINK_DROP);
	disconnected_ms = fake_net_now_ms(net);
	accept_job("j1", &sent);
	fake_net_advance(net, 300);
	accept_job("j2", &unsent);
	fake_net_advance(net, 400);
	/* j2 was never sent, so it is refused long before its deadline. */
	ck_assert_int_eq(unsent.count, 1);
	ck_assert_int_eq(unsent.outcome, ZR_CELL_REFUSED);
	ck_assert_int_le(unsent.at_ms - disconnected_ms - 300, 300);
	/* j1 was sent, so its outcome is unknown until its deadline. */
	ck_assert_int_eq(sent.count, 0);
	fake_net_advance(net, WAIT_MS);
	ck_assert_int_eq(sent.count, 1);
	ck_assert_int_eq(sent.outcome, ZR_CELL_UNDECIDED);
	ck_assert_int_le(sent.at_ms - disconnected_ms, WAIT_MS + 50);
}
END_TEST

START_TEST(test_lost_reply_is_resolved_by_a_repeated_write)
{
	static struct result lost;

	fake_net_set_link(net, "store", "host", FAKE_LINK_DROP);
	accept_job("j1", &lost);
	fake_net_advance(net, 100);
	fake_net_set_link(net, "store", "host", FAKE_LINK_PASS);
	fake_net_advance(net, 1200);
	ck_assert_int_eq(lost.count, 1);
	ck_assert_int_eq(lost.outcome, ZR_CELL_ALREADY_ACCEPTED);
}
END_TEST

START_TEST(test_one_lost_reply_does_not_make_the_store_suspect)
{
	static struct result lost;
	static struct result later;

	fake_net_set_link(net, "store", "host", FAKE_LINK_DROP);
	accept_job("j1", &lost);
	fake_net_advance(net, 3);
	fake_net_set_link(net, "store", "host", FAKE_LINK_PASS);
	accept_job("j2", &later);
	fake_net_advance(net, 10);
	ck_assert_int_eq(later.outcome, ZR_CELL_ACCEPTED);
	fake_net_advance(net, 300);
	ck_assert_int_eq(zr_store_health_suspect_ms(health), 0);
}
END_TEST

START_TEST(test_unreachable_store_refuses_jobs)
{
	static struct result refused;

	fake_net_set_link(net, "host", "store", FAKE_LINK_REFUSE);
	accept_job("j1", &refused);
	fake_net_advance(net, 400);
	ck_assert_int_eq(refused.count, 1);
	ck_assert_int_eq(refused.outcome, ZR_CELL_REFUSED);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_acceptor");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_known_job_is_not_accepted_again);
	tcase_add_test(tcase, test_disconnected_store_refuses_unsent_jobs);
	tcase_add_test(tcase, test_lost_reply_is_resolved_by_a_repeated_write);
	tcase_add_test(tcase,
		       test_one_lost_reply_does_not_make_the_store_suspect);
	tcase_add_test(tcase, test_unreachable_store_refuses_jobs);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

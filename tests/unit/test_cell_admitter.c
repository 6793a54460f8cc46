#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cell/admitter.h"
#include "cell/counts.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"

#define TERM_REVISION 1
#define WAIT_MS 2800
/* A rejection is decided within this time. */
#define DECISION_MAX_MS 25

static struct fake_net *net;
static struct fake_store *store;
static struct fake_node *host;
static struct zr_store client;
static struct zr_store monitored;
static struct zr_store_health *health;
static struct zr_metrics *metrics;
static struct zr_cell_acceptor *acceptor;
static struct zr_cell_admitter *admitter;
static struct zr_cell_step_spec step;
static const struct zr_cell_job_spec spec = {.steps = &step, .step_count = 1};
static const struct zr_cell_queue queue = {
	.pool = "pool", .stretch_permille = 1500, .latency_target_ms = 250};

struct result {
	int count;
	struct zr_admission_verdict verdict;
	long at_ms;
};

static void on_verdict(void *ctx, const struct zr_admission_verdict *verdict)
{
	struct result *out = ctx;

	out->count++;
	out->verdict = *verdict;
	out->at_ms = fake_net_now_ms(net);
}

static void on_outcome(void *ctx, enum zr_cell_accept_outcome outcome)
{
	(void)ctx;
	(void)outcome;
}

static void on_published(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	(void)ctx;
	ck_assert(!error && reply->succeeded);
}

/* Publishes a full pool, in which urgent work of @waiting_ms waits. */
static void publish(uint32_t waiting_ms)
{
	zx_cell_class_load class = {.run_permille = 1000,
				    .tail_permille = 1000};
	zx_cell_pool_load pool = {"pool", {1000000}, {950}, {1, &class}};
	zx_cell_account_load account = {"hot", -5000, 2, {0, NULL}};
	zx_cell_stored_counts record = {.load = {{1, &pool}, {1, &account}}};
	struct zr_cell_buffer bytes;
	struct zr_store_put put = {ZR_CELL_COUNTS_KEY, NULL, 0, 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};

	class.waiting_ms[0] = waiting_ms;
	ck_assert(!zr_cell_encode_counts(&bytes, &record));
	put.data = bytes.data;
	put.length = bytes.length;
	zr_store_commit(&client, ZR_STORE_INTENT, &txn, on_published, NULL);
	free(bytes.data);
	fake_net_advance(net, 5);
}

static void decide(const char *id, const char *name, struct result *out)
{
	const struct zr_cell_submission submission = {
		.id = id,
		.client = name,
		.queue = &queue,
		.spec = &spec,
		.term_revision = TERM_REVISION,
	};

	memset(out, 0, sizeof(*out));
	zr_cell_admitter_decide(admitter, &submission, on_verdict, out);
}

/* The decision on a job of a client account within its share. */
static struct result decision(const char *id)
{
	static struct result result;
	long sent_ms = fake_net_now_ms(net);

	decide(id, "calm", &result);
	fake_net_advance(net, DECISION_MAX_MS);
	ck_assert_int_eq(result.count, 1);
	result.at_ms -= sent_ms;
	return result;
}

static void write_job(const char *id)
{
	struct zr_cell_buffer record = {strdup("job"), 3};

	zr_cell_acceptor_write_job(acceptor, id, record, WAIT_MS, on_outcome,
				   NULL);
}

/* Lets the host read two summaries, so that it knows the age of the second. */
static void learn_load(uint32_t waiting_ms)
{
	ck_assert_int_eq(decision("first").verdict.reason,
			 ZR_ADMISSION_ACCEPTED);
	publish(waiting_ms);
	fake_net_advance(net, 500);
}

static void set_up(void)
{
	struct zr_cell_admitter_options options = {0};

	net = fake_net_new();
	store = fake_store_new(net, "store");
	host = fake_node_new(net, "host");
	fake_store_client(&client, store, host);
	zr_metrics_new(&metrics);
	options.timers = fake_time_timers(fake_node_time(host));
	options.clock = fake_time_clock(fake_node_time(host));
	ck_assert(!zr_store_health_new(&health, &monitored, &client,
				       options.clock));
	ck_assert(!zr_cell_acceptor_new(&acceptor, options.timers,
					options.clock, &monitored, health,
					metrics));
	options.store = &monitored;
	options.health = health;
	options.acceptor = acceptor;
	options.metrics = metrics;
	ck_assert(!zr_cell_admitter_new(&admitter, &options));
	step = (struct zr_cell_step_spec){
		.count = 3, .need = {.millicpus = 1000}, .estimate_ms = 750};
	publish(0);
}

static void tear_down(void)
{
	zr_cell_admitter_free(admitter);
	zr_cell_acceptor_free(acceptor);
	zr_store_free(&monitored);
	zr_metrics_free(metrics);
	fake_store_free(store);
	fake_net_free(net);
}

START_TEST(test_hopeless_job_is_rejected_in_time)
{
	struct result result;

	learn_load(9000);
	result = decision("new");
	ck_assert_int_eq(result.verdict.reason, ZR_ADMISSION_REJECTED_OVERLOAD);
	ck_assert_uint_gt(result.verdict.retry_after_ms, 0);
	ck_assert_int_le(result.at_ms, DECISION_MAX_MS);
	/* It was not written, so it cannot run. */
	ck_assert_uint_eq(
		fake_store_count_keys(store, ZR_CELL_JOB_PREFIX, ".cancel"), 0);
}
END_TEST

START_TEST(test_account_above_its_share_is_rejected_first)
{
	static struct result result;

	learn_load(2500);
	ck_assert_int_eq(decision("calm1").verdict.reason,
			 ZR_ADMISSION_ACCEPTED);
	publish(4000);
	fake_net_advance(net, 300);
	ck_assert_int_eq(decision("calm2").verdict.reason,
			 ZR_ADMISSION_ACCEPTED);
	decide("hot1", "hot", &result);
	fake_net_advance(net, DECISION_MAX_MS);
	ck_assert_int_eq(result.verdict.reason,
			 ZR_ADMISSION_REJECTED_OVER_SHARE);
}
END_TEST

/*
 * A repeated call, also if another host accepted the first, or if the job has
 * ended and only its progress is left.
 */
START_TEST(test_accepted_job_is_never_rejected)
{
	const struct zr_store_put put = {ZR_CELL_PROGRESS_PREFIX "ended", "x",
					 1, 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};

	learn_load(9000);
	write_job("known");
	ck_assert_int_eq(decision("known").verdict.reason,
			 ZR_ADMISSION_ACCEPTED);
	ck_assert_int_eq(decision("known").verdict.reason,
			 ZR_ADMISSION_ACCEPTED);
	zr_store_commit(&client, ZR_STORE_INTENT, &txn, on_published, NULL);
	fake_net_advance(net, 5);
	ck_assert_int_eq(decision("ended").verdict.reason,
			 ZR_ADMISSION_ACCEPTED);
	ck_assert_int_ne(decision("new").verdict.reason, ZR_ADMISSION_ACCEPTED);
}
END_TEST

/* Load: an outdated summary. The owner has stopped, or the cell was taken over.
 */
START_TEST(test_outdated_summary_rejects_nothing)
{
	learn_load(9000);
	ck_assert_int_ne(decision("early").verdict.reason,
			 ZR_ADMISSION_ACCEPTED);
	fake_net_advance(net, 2000);
	ck_assert_int_eq(decision("late").verdict.reason,
			 ZR_ADMISSION_ACCEPTED);
}
END_TEST

/* A host that is cut off cannot know whether a job was accepted before. */
START_TEST(test_silent_store_rejects_nothing)
{
	struct result result;

	learn_load(9000);
	fake_net_set_link(net, "host", "store", FAKE_LINK_DROP);
	result = decision("new");
	ck_assert_int_eq(result.verdict.reason, ZR_ADMISSION_ACCEPTED);
	ck_assert_int_le(result.at_ms, DECISION_MAX_MS);
	fake_net_advance(net, 3000);
	fake_net_set_link(net, "host", "store", FAKE_LINK_PASS);
	fake_net_advance(net, 10);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_admitter");
	TCase *tcase = tcase_create("cell_admitter");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_hopeless_job_is_rejected_in_time);
	tcase_add_test(tcase, test_account_above_its_share_is_rejected_first);
	tcase_add_test(tcase, test_accepted_job_is_never_rejected);
	tcase_add_test(tcase, test_outdated_summary_rejects_nothing);
	tcase_add_test(tcase, test_silent_store_rejects_nothing);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "net/http_server.h"
#include "platform.h"
#include "zinniarack/errors.h"

/*
 * A stand-in of the platform for one call at a time: answers what the test
 * sets, and keeps what it was asked.
 */

#define BODY_MAX 4096
#define BODIES_MAX 4
#define RUN_MS_MAX 2000

static struct {
	int status;
	const char *body;
	const char *bodies[BODIES_MAX]; /* one for each call, when set */
	int calls;
	char method[16];
	char path[256];
	char query[256];
	char request[BODY_MAX];
	char instance[64];
} standin;

static uv_loop_t *loop;
static struct zr_http_server *server;
static struct zr_metrics *metrics;
static char address[32];
static bool finished;

static void copy(char *out, size_t size, const char *text)
{
	snprintf(out, size, "%s", text ? text : "");
}

static void on_call(void *ctx, struct zr_http_exchange *exchange)
{
	const char *body =
		standin.calls < BODIES_MAX && standin.bodies[standin.calls]
			? standin.bodies[standin.calls]
			: standin.body;
	size_t length;
	const void *request = zr_http_get_body(exchange, &length);

	(void)ctx;
	standin.calls++;
	copy(standin.method, sizeof(standin.method),
	     zr_http_get_method(exchange));
	copy(standin.path, sizeof(standin.path), zr_http_get_path(exchange));
	copy(standin.query, sizeof(standin.query),
	     zr_http_get_query_param(exchange, "after"));
	copy(standin.instance, sizeof(standin.instance),
	     zr_http_get_header(exchange, "X-Target-Instance"));
	snprintf(standin.request, sizeof(standin.request), "%.*s", (int)length,
		 length ? (const char *)request : "");
	zr_http_reply(exchange, standin.status, "application/json", body,
		      strlen(body));
}

static void on_timeout(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void run_until_finished(void)
{
	uv_timer_t timer;

	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_timeout, RUN_MS_MAX, 0);
	while (!finished && uv_is_active((uv_handle_t *)&timer))
		uv_run(loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(loop, UV_RUN_NOWAIT);
	ck_assert(finished);
}

static void set_up(void)
{
	const char *base = getenv("ZR_PORT");
	int port = (base ? atoi(base) : 27000) + 900;

	memset(&standin, 0, sizeof(standin));
	standin.status = 200;
	standin.body = "{}";
	finished = false;
	loop = uv_loop_new();
	zr_metrics_new(&metrics);
	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	ck_assert_int_eq(
		zr_http_server_new(&server, loop, address, NULL, on_call, NULL),
		0);
}

/* Registry */

static struct zr_store_value value_of(const char *key, const char *text)
{
	struct zr_store_value value = {
		.key = (char *)key,
		.data = (void *)text,
		.length = strlen(text),
		.mod_revision = 7,
	};

	return value;
}

#define ENTRY                                                    \
	"{\"service\":\"pool-a\",\"address\":\"10.0.0.9:80\","   \
	"\"zone\":\"north\",\"version\":\"v1\",\"slots\":8,"     \
	"\"state\":\"%s\",\"cold_remaining_ms\":0,\"capacity\":" \
	"{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":1},\"labels\":" \
	"[\"a\",\"r1-3\"],\"clock_ms\":482113,\"seq\":4,\"born\":1700}"

static int decode_entry(struct zr_worker_report *out, const char *state)
{
	char text[512];
	struct zr_store_value value;

	snprintf(text, sizeof(text), ENTRY, state);
	value = value_of("servers/i-1", text);
	return pf_registry_decode(out, &value);
}

START_TEST(test_registry_entry)
{
	struct zr_worker_report report;

	ck_assert_int_eq(decode_entry(&report, "ready"), 0);
	ck_assert_str_eq(report.name, "i-1");
	ck_assert_str_eq(report.pool, "pool-a");
	ck_assert_str_eq(report.domain, "north");
	ck_assert_int_eq(report.capacity.millicpus, 16000);
	ck_assert_int_eq(report.capacity.accelerators, 1);
	ck_assert_int_eq(report.incarnation, 1700);
	ck_assert_int_eq(report.clock_ms, 482113);
	ck_assert(!report.leaving);
	ck_assert_str_eq(report.labels, "a");
	ck_assert_str_eq(report.labels + 2, "r1-3");
	ck_assert_str_eq(report.rack, "r1-3");
	ck_assert_int_eq(decode_entry(&report, "draining"), 0);
	ck_assert(report.leaving);
}
END_TEST

START_TEST(test_registry_strangers)
{
	static const char *const texts[] = {
		"",
		"not json",
		"[]",
		"{}",
		"{\"service\":1,\"address\":\"a\",\"state\":\"ready\"}",
		"{\"service\":\"s\",\"capacity\":{\"cpu\":\"many\"}}",
	};
	struct zr_worker_report report;
	struct zr_store_value value;
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(*texts); i++) {
		value = value_of("servers/x", texts[i]);
		ck_assert_int_eq(pf_registry_decode(&report, &value),
				 ZR_E_PROTOCOL);
	}
	ck_assert_int_eq(decode_entry(&report, "sleeping"), ZR_E_PROTOCOL);
}
END_TEST

/* Configuration */

START_TEST(test_configuration)
{
	struct zr_store_value value = value_of(
		"op/config",
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":"
		"\"h\",\"prefix\":\"/p/\",\"priority\":1,\"service\":\"s\","
		"\"attempts\":2,\"stretch\":2.2,\"latency_target_ms\":1000,"
		"\"advice\":{\"decision_ms\":410.0,\"period_ms\":5.9,"
		"\"validity_ms\":1500},\"public\":false}],\"services\":[],"
		"\"limits\":{\"max_body_bytes\":1000},\"tenants\":[{"
		"\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],\"weight\":37,"
		"\"upper_limit\":{\"cpu\":5000,\"mem_mb\":1,\"gpu\":0}}]}");
	struct zr_cell_config *config;
	const struct zr_cell_queue *queue;

	ck_assert_int_eq(pf_config_decode(&config, &value), 0);
	ck_assert_int_eq(config->version, 7);
	queue = zr_cell_config_route(config, "h", "/p/0123456789abcdef");
	ck_assert_ptr_nonnull(queue);
	ck_assert_int_eq(queue->stretch_permille, 2200);
	ck_assert_int_eq(queue->advise_worker_us, 5900);
	ck_assert_ptr_null(zr_cell_config_route(config, "other", "/p/x"));
	ck_assert_str_eq(zr_cell_config_key(config, "k2")->name, "t");
	ck_assert_int_eq(zr_cell_config_key(config, "k2")->limit.millicpus,
			 5000);
	ck_assert_ptr_null(zr_cell_config_key(config, "k3"));
	ck_assert_ptr_null(zr_cell_config_key(config, ""));
	zr_cell_config_free(config);
	value.key = "op/wave/1";
	ck_assert_int_eq(pf_config_decode(&config, &value), ZR_E_NOT_FOUND);
}
END_TEST

/* Submissions */

static int read_spec(const char *text)
{
	struct zr_cell_job_spec spec;
	int error = pf_call_decode_job_spec(&spec, text, strlen(text));

	if (!error)
		zr_cell_job_spec_clear(&spec);
	return error;
}

START_TEST(test_submission)
{
	static const char text[] =
		"{\"task_spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500},"
		"{\"count\":2,\"cpu\":2000,\"after\":[0],\"gang\":true,"
		"\"checkpointing\":true,\"anti_affinity\":3,\"new\":1}]}";
	struct zr_cell_job_spec spec;

	ck_assert_int_eq(pf_call_decode_job_spec(&spec, text, strlen(text)), 0);
	ck_assert_int_eq(spec.step_count, 2);
	ck_assert_int_eq(spec.steps[0].need.millicpus, 500);
	ck_assert_int_eq(spec.steps[1].depends_on[0], 0);
	ck_assert_int_eq(spec.steps[1].flags,
			 ZR_STEP_GANG | ZR_STEP_CHECKPOINTS);
	ck_assert_int_eq(spec.steps[1].max_per_worker, 3);
	zr_cell_job_spec_clear(&spec);
}
END_TEST

START_TEST(test_submissions_refused)
{
	ck_assert_int_eq(read_spec("{"), ZR_E_INVALID);
	ck_assert_int_eq(read_spec("{\"task_spec\":\"x\",\"steps\":[]}"),
			 ZR_E_INVALID);
	ck_assert_int_eq(read_spec("{\"task_spec\":1,\"steps\":[{}]}"),
			 ZR_E_INVALID);
	ck_assert_int_eq(read_spec("{\"task_spec\":\"x\",\"steps\":[{"
				   "\"count\":1,\"after\":[0]}]}"),
			 ZR_E_INVALID);
	ck_assert_int_eq(read_spec("{\"task_spec\":\"x\",\"steps\":[{"
				   "\"count\":1,\"affinity\":5}]}"),
			 ZR_E_INVALID);
}
END_TEST

START_TEST(test_job_ids)
{
	char id[ZR_NAME_MAX];

	ck_assert_int_eq(pf_call_parse_job_id(id, "/p/0123456789abcdef", "/p/"),
			 0);
	ck_assert_str_eq(id, "0123456789abcdef");
	ck_assert_int_eq(pf_call_parse_job_id(id, "/p/", "/p/"),
			 ZR_E_NOT_FOUND);
	ck_assert_int_eq(pf_call_parse_job_id(id, "/p/0123", "/p/"),
			 ZR_E_INVALID);
	ck_assert_int_eq(
		pf_call_parse_job_id(id, "/p/0123456789abcdefg", "/p/"),
		ZR_E_INVALID);
	ck_assert_int_eq(pf_call_parse_job_id(id, "/p/zzzz456789abcdef", "/p/"),
			 ZR_E_INVALID);
}
END_TEST

/* Store */

static struct {
	int error;
	bool succeeded;
	int64_t revision;
	int64_t lease;
	size_t count;
	char first[64];
} stored;

static void on_stored(void *ctx, int error, const struct zr_store_reply *reply)
{
	(void)ctx;
	finished = true;
	memset(&stored, 0, sizeof(stored));
	stored.error = error;
	if (!reply)
		return;
	stored.succeeded = reply->succeeded;
	stored.revision = reply->revision;
	stored.lease = reply->lease;
	stored.count = reply->count;
	if (reply->count && reply->values[0].data)
		copy(stored.first, sizeof(stored.first), reply->values[0].data);
}

START_TEST(test_store_pages)
{
	struct zr_store store;

	standin.bodies[0] = "{\"items\":[{\"key\":\"a/1\",\"value\":\"eA==\","
			    "\"revision\":5}],\"has_more\":true,"
			    "\"store_revision\":9}";
	standin.bodies[1] = "{\"items\":[{\"key\":\"a/2\",\"value\":\"\","
			    "\"revision\":6}],\"has_more\":false,"
			    "\"store_revision\":12}";
	ck_assert_int_eq(pf_store_new(&store, loop, address, metrics), 0);
	zr_store_range(&store, ZR_STORE_OTHER, "a/", true, on_stored, NULL);
	run_until_finished();
	ck_assert_int_eq(stored.error, 0);
	ck_assert_int_eq(stored.count, 2);
	ck_assert_str_eq(stored.first, "x");
	/* A watch from here misses nothing of the first page. */
	ck_assert_int_eq(stored.revision, 9);
	ck_assert_str_eq(standin.query, "a/1");
	zr_store_free(&store);
}
END_TEST

static void commit(struct zr_store *store)
{
	const struct zr_store_compare compare = {"k", 3};
	const struct zr_store_put puts[] = {{"k", "v", 1, 8},
					    {"old", NULL, 0, 0}};
	const struct zr_store_txn txn = {&compare, 1, puts, 2};

	finished = false;
	zr_store_commit(store, ZR_STORE_OTHER, &txn, on_stored, NULL);
	run_until_finished();
}

START_TEST(test_store_transactions)
{
	struct zr_store store;

	ck_assert_int_eq(pf_store_new(&store, loop, address, metrics), 0);
	standin.body = "{\"revision\":412}";
	commit(&store);
	ck_assert(stored.succeeded);
	ck_assert_int_eq(stored.revision, 412);
	ck_assert_str_eq(standin.request,
			 "{\"expected_rev\":[{\"key\":\"k\",\"revision\":3}],"
			 "\"puts\":[{\"key\":\"k\",\"value\":\"dg==\","
			 "\"lease\":8}],\"remove\":[\"old\"]}");
	standin.status = 412;
	standin.body = "{\"items\":[{\"key\":\"k\",\"value\":\"eA==\","
		       "\"revision\":4}]}";
	commit(&store);
	ck_assert_int_eq(stored.error, 0);
	ck_assert(!stored.succeeded);
	ck_assert_int_eq(stored.count, 1);
	standin.status = 503;
	commit(&store);
	ck_assert_int_eq(stored.error, ZR_E_STORE_DOWN);
	standin.status = 404;
	commit(&store);
	ck_assert_int_eq(stored.error, ZR_E_NOT_FOUND);
	zr_store_free(&store);
}
END_TEST

START_TEST(test_store_history_gone)
{
	struct zr_store store;

	ck_assert_int_eq(pf_store_new(&store, loop, address, metrics), 0);
	standin.status = 410;
	zr_store_watch(&store, "a/", 5, 100, on_stored, NULL);
	run_until_finished();
	ck_assert_int_eq(stored.error, ZR_E_NOT_FOUND);
	zr_store_free(&store);
}
END_TEST

/* Workers */

static struct {
	int error;
	enum zr_request_status status;
	int64_t clock_ms;
	size_t runs;
	size_t ends;
	struct zr_cell_run run;
	struct zr_cell_run_end end;
} answered;

static void on_order(void *ctx, int error,
		     const struct zr_cell_request_reply *reply)
{
	(void)ctx;
	finished = true;
	answered.error = error;
	if (!reply)
		return;
	answered.status = reply->status;
	answered.clock_ms = reply->clock_ms;
}

static void on_look(void *ctx, int error,
		    const struct zr_cell_poll_reply *reply)
{
	(void)ctx;
	finished = true;
	answered.error = error;
	if (!reply)
		return;
	answered.status = reply->status;
	answered.runs = reply->run_count;
	answered.ends = reply->end_count;
	if (reply->run_count)
		answered.run = reply->runs[0];
	if (reply->end_count)
		answered.end = reply->ends[0];
}

static void start_run(struct zr_cell_worker_conn *orders)
{
	const struct zr_cell_start start = {
		.task = {"0123456789abcdef", 1, 2, 17},
		.attempt = 3,
		.payload = "text",
		.lease_expires_ms = 486000,
		.fencing_token = 7,
		.checkpoint = "c1",
		.ticket = "t1",
	};

	finished = false;
	orders->ops->start(orders->impl, &start, 500, on_order, NULL);
	run_until_finished();
}

START_TEST(test_worker_start)
{
	static const struct {
		int http_status;
		const char *body;
		enum zr_request_status status;
	} answers[] = {
		{200, "{\"clock_ms\":5}", ZR_REQUEST_ACCEPTED},
		{409, "{\"clock_ms\":5,\"reason\":\"fence\"}",
		 ZR_REQUEST_FENCED},
		{409, "{\"reason\":\"old\"}", ZR_REQUEST_SUPERSEDED},
		{409, "{\"reason\":\"late\"}", ZR_REQUEST_LEASE_EXPIRED},
		{409, "{\"reason\":\"room\"}", ZR_REQUEST_NO_CAPACITY},
		{409, "{\"reason\":\"ticket\"}", ZR_REQUEST_NO_PERMIT},
		{409, "{\"reason\":\"else\"}", ZR_REQUEST_INVALID},
		{421, "{}", ZR_REQUEST_OTHER_INCARNATION},
		{503, "", ZR_REQUEST_UNHEALTHY},
		{400, "nonsense", ZR_REQUEST_INVALID},
	};
	struct zr_cell_worker_conn orders;
	size_t i;

	ck_assert_int_eq(pf_worker_connect(loop, &orders, address, "i-1"), 0);
	for (i = 0; i < sizeof(answers) / sizeof(*answers); i++) {
		standin.status = answers[i].http_status;
		standin.body = answers[i].body;
		start_run(&orders);
		ck_assert_int_eq(answered.error, 0);
		ck_assert_int_eq(answered.status, answers[i].status);
	}
	ck_assert_str_eq(standin.instance, "i-1");
	ck_assert_str_eq(standin.request,
			 "{\"task\":\"0123456789abcdef.1.2.17\",\"attempt\":3,"
			 "\"task_spec\":\"text\",\"deadline_ms\":486000,"
			 "\"fencing_token\":7,\"checkpoint\":\"c1\","
			 "\"ticket\":\"t1\"}");
	orders.ops->free(orders.impl);
}
END_TEST

START_TEST(test_worker_look)
{
	struct zr_cell_worker_conn orders;

	ck_assert_int_eq(pf_worker_connect(loop, &orders, address, "i-1"), 0);
	standin.body =
		"{\"clock_ms\":9,\"running\":[[\"ab.0.1.17\",2,\"c\",41,12]],"
		"\"finished\":[[58,\"ab.0.1.9\",1,\"done\",\"\"]]}";
	orders.ops->poll(orders.impl, 7, 486000, 57, 100, 700, on_look, NULL);
	run_until_finished();
	ck_assert_int_eq(answered.error, 0);
	ck_assert_int_eq(answered.runs, 1);
	ck_assert_int_eq(answered.run.task.index, 17);
	ck_assert_int_eq(answered.run.percent, 41);
	ck_assert_int_eq(answered.end.number, 58);
	ck_assert_int_eq(answered.end.outcome, ZR_RUN_DONE);
	ck_assert_str_eq(standin.path, "/-/hold");
	standin.body = "{\"running\":[[5]],\"finished\":[]}";
	finished = false;
	orders.ops->poll(orders.impl, 7, 486000, 57, 100, 700, on_look, NULL);
	run_until_finished();
	ck_assert_int_eq(answered.error, ZR_E_PROTOCOL);
	orders.ops->free(orders.impl);
}
END_TEST

/* Adviser */

static struct {
	int error;
	size_t count;
	struct zr_cell_permit first;
	uint32_t validity_ms;
} advised;

static void on_advised(void *ctx, int error,
		       const struct zr_cell_permit *permits, size_t count,
		       uint32_t validity_ms)
{
	(void)ctx;
	finished = true;
	advised.error = error;
	advised.count = count;
	advised.validity_ms = validity_ms;
	if (count)
		advised.first = permits[0];
}

START_TEST(test_adviser)
{
	static const char *const workers[] = {"i-1", "i-2"};
	struct zr_http_client *client;

	ck_assert_int_eq(zr_http_client_new(&client, loop, address, NULL), 0);
	standin.body = "{\"good\":[[\"i-2\",\"ticket\"]],\"validity_ms\":900}";
	pf_adviser_query(client, "0123456789abcdef", 0, 1, workers, 2, 500,
			 on_advised, NULL);
	run_until_finished();
	ck_assert_int_eq(advised.error, 0);
	ck_assert_int_eq(advised.count, 1);
	ck_assert_str_eq(advised.first.worker, "i-2");
	ck_assert_str_eq(advised.first.ticket, "ticket");
	ck_assert_int_eq(advised.validity_ms, 900);
	ck_assert_str_eq(standin.request, "{\"step\":\"0123456789abcdef.0.1\","
					  "\"workers\":[\"i-1\",\"i-2\"]}");
	standin.status = 429;
	finished = false;
	pf_adviser_query(client, "0123456789abcdef", 0, 1, workers, 2, 500,
			 on_advised, NULL);
	run_until_finished();
	ck_assert_int_eq(advised.error, ZR_E_OVERLOADED);
	zr_http_client_free(client);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("platform");
	TCase *pure = tcase_create("decoding");
	TCase *calls = tcase_create("calls");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(pure, test_registry_entry);
	tcase_add_test(pure, test_registry_strangers);
	tcase_add_test(pure, test_configuration);
	tcase_add_test(pure, test_submission);
	tcase_add_test(pure, test_submissions_refused);
	tcase_add_test(pure, test_job_ids);
	tcase_add_checked_fixture(calls, set_up, NULL);
	tcase_add_test(calls, test_store_pages);
	tcase_add_test(calls, test_store_transactions);
	tcase_add_test(calls, test_store_history_gone);
	tcase_add_test(calls, test_worker_start);
	tcase_add_test(calls, test_worker_look);
	tcase_add_test(calls, test_adviser);
	suite_add_tcase(suite, pure);
	suite_add_tcase(suite, calls);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

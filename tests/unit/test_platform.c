#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "net/http_server.h"
#include "platform.h"
#include "zinniarack/errors.h"

#define BODY_MAX 4096
#define BODIES_MAX 4
#define RUN_MS_MAX 2000
#define LONG_TEXT_BYTES (ZR_CELL_CHECKPOINT_MAX - 1)

/*
 * Fake HTTP server of the platform. It takes one call at a time, sends the
 * response that the test has set, and records the request.
 */
static struct {
	int status;
	const char *body;
	const char *bodies[BODIES_MAX]; /* by number of the call; else @body */
	int calls;
	char method[16];
	char path[256];
	char query[256];
	char request[BODY_MAX];
	char instance[64];
} fake;

static uv_loop_t *loop;
static struct zr_http_server *server;
static struct zr_metrics *metrics;
static char address[32];
static bool finished;

static void copy_text(char *out, size_t size, const char *text)
{
	snprintf(out, size, "%s", text ? text : "");
}

static void on_call(void *ctx, struct zr_http_exchange *exchange)
{
	const char *body = fake.calls < BODIES_MAX && fake.bodies[fake.calls]
				   ? fake.bodies[fake.calls]
				   : fake.body;
	size_t length;
	const void *request = zr_http_get_body(exchange, &length);

	(void)ctx;
	fake.calls++;
	copy_text(fake.method, sizeof(fake.method),
		  zr_http_get_method(exchange));
	copy_text(fake.path, sizeof(fake.path), zr_http_get_path(exchange));
	copy_text(fake.query, sizeof(fake.query),
		  zr_http_get_query_param(exchange, "after"));
	copy_text(fake.instance, sizeof(fake.instance),
		  zr_http_get_header(exchange, "X-Target-Instance"));
	snprintf(fake.request, sizeof(fake.request), "%.*s", (int)length,
		 length ? (const char *)request : "");
	zr_http_reply(exchange, fake.status, "application/json", body,
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

	memset(&fake, 0, sizeof(fake));
	fake.status = 200;
	fake.body = "{}";
	finished = false;
	loop = uv_loop_new();
	zr_metrics_new(&metrics);
	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	ck_assert_int_eq(
		zr_http_server_new(&server, loop, address, NULL, on_call, NULL),
		0);
}

/* Registry */

static struct zr_store_value make_value(const char *key, const char *text)
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

static int decode_entry(struct zr_cell_worker_report *out, const char *state)
{
	char text[512];
	struct zr_store_value value;

	snprintf(text, sizeof(text), ENTRY, state);
	value = make_value("servers/i-1", text);
	return pf_registry_decode(out, &value);
}

START_TEST(test_registry_entry)
{
	struct zr_cell_worker_report report;

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

/*
 * Guards against labels that are left out without a word: work that requires
 * one never ran. Twelve long ones fit, and what does not fit is counted.
 */
START_TEST(test_many_labels)
{
	json_t *entry =
		json_loads("{\"service\":\"s\",\"zone\":\"z\",\"address\":"
			   "\"127.0.0.1:9\",\"state\":\"ready\","
			   "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
			   0, NULL);
	json_t *labels = json_array();
	struct zr_cell_worker_report report;
	struct zr_store_value value;
	char label[64];
	char *text;
	int i;

	json_object_set_new(entry, "labels", labels);
	for (i = 0; i < 20; i++) {
		snprintf(label, sizeof(label), "%062d", i);
		json_array_append_new(labels, json_string(label));
		text = json_dumps(entry, 0);
		value = make_value("servers/i-1", text);
		ck_assert_int_eq(pf_registry_decode(&report, &value), 0);
		free(text);
		if (i < 16)
			ck_assert_uint_eq(report.ignored_labels, 0);
	}
	ck_assert_uint_eq(report.ignored_labels, 4);
	ck_assert_str_eq(report.labels + (size_t)11 * 63,
			 "00000000000000000000000000000000000000000000000000"
			 "000000000011");
	json_decref(entry);
}
END_TEST

START_TEST(test_invalid_registry_entries)
{
	static const char *const texts[] = {
		"",
		"not json",
		"[]",
		"{}",
		"{\"service\":1,\"address\":\"a\",\"state\":\"ready\"}",
		"{\"service\":\"s\",\"capacity\":{\"cpu\":\"many\"}}",
	};
	struct zr_cell_worker_report report;
	struct zr_store_value value;
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(*texts); i++) {
		value = make_value("servers/x", texts[i]);
		ck_assert_int_eq(pf_registry_decode(&report, &value),
				 ZR_E_PROTOCOL);
	}
	ck_assert_int_eq(decode_entry(&report, "sleeping"), ZR_E_PROTOCOL);
}
END_TEST

/* The value has no meaning, and a key without a domain is not a request. */
START_TEST(test_evacuation_keys)
{
	struct zr_store_value value = make_value("op/evacuate/north", "");
	char domain[ZR_NAME_MAX];

	ck_assert_int_eq(pf_evacuation_decode(domain, &value), 0);
	ck_assert_str_eq(domain, "north");
	value.key = PF_EVACUATION_PREFIX;
	ck_assert_int_eq(pf_evacuation_decode(domain, &value), ZR_E_PROTOCOL);
}
END_TEST

/*
 * Long names that begin alike stay apart, and the same name is the same in all
 * documents that have it: the registry, the configuration, evacuation requests
 * and jobs.
 */
START_TEST(test_long_names)
{
	char name[3 * ZR_NAME_MAX] = "";
	char other[sizeof(name)] = "";
	char first[ZR_NAME_MAX];
	char second[ZR_NAME_MAX];

	memset(name, 'n', sizeof(name) - 1);
	memcpy(other, name, sizeof(name));
	other[sizeof(other) - 2] = 'm';
	pf_name_copy(first, name);
	pf_name_copy(second, other);
	ck_assert_str_ne(first, second);
	pf_name_copy(second, name);
	ck_assert_str_eq(first, second);
	name[ZR_NAME_MAX - 1] = '\0';
	pf_name_copy(first, name);
	ck_assert_str_eq(first, name);
}
END_TEST

START_TEST(test_long_zone)
{
	static const char zone[] =
		"north-hall-of-the-second-building-behind-the-station-of-"
		"asahikawa-2";
	char key[sizeof(PF_EVACUATION_PREFIX) + sizeof(zone)];
	char text[1024];
	struct zr_cell_worker_report report;
	struct zr_store_value value;
	char domain[ZR_NAME_MAX];

	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"10.0.0.9:80\","
		 "\"zone\":\"%s\",\"state\":\"ready\",\"capacity\":{"
		 "\"cpu\":1,\"mem_mb\":1},\"labels\":[\"%s\"],\"born\":1}",
		 zone, zone, zone);
	value = make_value("servers/i-1", text);
	ck_assert_int_eq(pf_registry_decode(&report, &value), 0);
	snprintf(key, sizeof(key), PF_EVACUATION_PREFIX "%s", zone);
	value.key = key;
	ck_assert_int_eq(pf_evacuation_decode(domain, &value), 0);
	ck_assert_str_eq(domain, report.domain);
	ck_assert_str_eq(domain, report.pool);
	ck_assert_str_eq(domain, report.labels);
}
END_TEST

/* Configuration */

START_TEST(test_configuration)
{
	struct zr_store_value value = make_value(
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

#define DIGITS_64                          \
	"0123456789abcdef0123456789abcdef" \
	"0123456789abcdef0123456789abcdef"

/*
 * Regression: a configuration with a key of 64 digits, or with another text
 * that was too long, was discarded as a whole, and the hosts refused all calls.
 */
START_TEST(test_long_texts_in_configuration)
{
	struct zr_store_value value =
		make_value("op/config",
			   "{\"version\":8,\"routes\":[{\"name\":\"n" DIGITS_64
			   "\",\"hostname\":\"h" DIGITS_64 DIGITS_64
			   "\",\"prefix\":\"/p" DIGITS_64 DIGITS_64
			   "/\",\"service\":\"s" DIGITS_64
			   "\"}],\"tenants\":[{\"name\":\"t" DIGITS_64
			   "\",\"api_keys\":[\"" DIGITS_64 "\",\"" DIGITS_64
			   "0\"]},{\"name\":\"u\",\"api_keys\":[\"k\"]}]}");
	struct zr_cell_config *config;
	const struct zr_cell_queue *queue;

	ck_assert_int_eq(pf_config_decode(&config, &value), 0);
	ck_assert_uint_eq(config->ignored, 0);
	queue = zr_cell_config_route(config, "h" DIGITS_64 DIGITS_64,
				     "/p" DIGITS_64 DIGITS_64
				     "/0123456789abcdef");
	ck_assert_ptr_nonnull(queue);
	ck_assert_ptr_nonnull(zr_cell_config_queue(config, queue->name));
	ck_assert_ptr_nonnull(zr_cell_config_key(config, DIGITS_64));
	ck_assert_ptr_eq(zr_cell_config_key(config, DIGITS_64),
			 zr_cell_config_key(config, DIGITS_64 "0"));
	ck_assert_ptr_null(zr_cell_config_key(config, DIGITS_64 "1"));
	ck_assert_str_eq(zr_cell_config_key(config, "k")->name, "u");
	zr_cell_config_free(config);
}
END_TEST

/* What cannot be used is left out and counted; the rest holds. */
START_TEST(test_unusable_parts_of_configuration)
{
	struct zr_store_value value = make_value(
		"op/config",
		"{\"version\":8,\"routes\":[7,{\"name\":\"r\",\"hostname\":"
		"\"h\",\"prefix\":\"/p/\",\"service\":\"s\"},{\"name\":"
		"\"x\",\"hostname\":null,\"prefix\":\"/x/\",\"service\":"
		"\"s\"}],\"tenants\":[{\"api_keys\":[\"a\"]},{\"name\":"
		"\"t\",\"api_keys\":[5,\"b\"]}]}");
	struct zr_cell_config *config;

	ck_assert_int_eq(pf_config_decode(&config, &value), 0);
	ck_assert_uint_eq(config->ignored, 4);
	ck_assert_str_eq(config->first_ignored, "routes[0]");
	ck_assert_uint_eq(config->queue_count, 1);
	ck_assert_ptr_nonnull(zr_cell_config_route(config, "h", "/p/x"));
	ck_assert_ptr_null(zr_cell_config_key(config, "a"));
	ck_assert_str_eq(zr_cell_config_key(config, "b")->name, "t");
	zr_cell_config_free(config);
	/* Without a version it is not known what the document replaces. */
	value = make_value("op/config", "{\"routes\":[],\"tenants\":[]}");
	ck_assert_int_eq(pf_config_decode(&config, &value), ZR_E_PROTOCOL);
}
END_TEST

/* Submissions */

static int decode_spec(const char *text)
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

START_TEST(test_invalid_submissions)
{
	ck_assert_int_eq(decode_spec("{"), ZR_E_INVALID);
	ck_assert_int_eq(decode_spec("{\"task_spec\":\"x\",\"steps\":[]}"),
			 ZR_E_INVALID);
	ck_assert_int_eq(decode_spec("{\"task_spec\":1,\"steps\":[{}]}"),
			 ZR_E_INVALID);
	ck_assert_int_eq(decode_spec("{\"task_spec\":\"x\",\"steps\":[{"
				     "\"count\":1,\"after\":[0]}]}"),
			 ZR_E_INVALID);
	ck_assert_int_eq(decode_spec("{\"task_spec\":\"x\",\"steps\":[{"
				     "\"count\":1,\"affinity\":5}]}"),
			 ZR_E_INVALID);
}
END_TEST

/*
 * All tasks of a job are in memory and in one record of the store, so a job
 * must not have any number of them: it would take the scheduler down, and after
 * it each successor that loads the job.
 */
START_TEST(test_submissions_with_too_many_tasks)
{
	ck_assert_int_eq(decode_spec("{\"task_spec\":\"x\",\"steps\":[{"
				     "\"count\":4096}]}"),
			 0);
	ck_assert_int_eq(decode_spec("{\"task_spec\":\"x\",\"steps\":[{"
				     "\"count\":4096},{\"count\":4096},{"
				     "\"count\":4096},{\"count\":4096},{"
				     "\"count\":1}]}"),
			 ZR_E_INVALID);
	ck_assert_int_eq(decode_spec("{\"task_spec\":\"x\",\"steps\":[{"
				     "\"count\":2}],\"repeats\":4000000000}"),
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
} store_reply;

static void on_store_done(void *ctx, int error,
			  const struct zr_store_reply *reply)
{
	(void)ctx;
	finished = true;
	memset(&store_reply, 0, sizeof(store_reply));
	store_reply.error = error;
	if (!reply)
		return;
	store_reply.succeeded = reply->succeeded;
	store_reply.revision = reply->revision;
	store_reply.lease = reply->lease;
	store_reply.count = reply->count;
	if (reply->count && reply->values[0].data)
		copy_text(store_reply.first, sizeof(store_reply.first),
			  reply->values[0].data);
}

START_TEST(test_store_range_reads_all_pages)
{
	struct zr_store store;

	fake.bodies[0] = "{\"items\":[{\"key\":\"a/1\",\"value\":\"eA==\","
			 "\"revision\":5}],\"has_more\":true,"
			 "\"store_revision\":9}";
	fake.bodies[1] = "{\"items\":[{\"key\":\"a/2\",\"value\":\"\","
			 "\"revision\":6}],\"has_more\":false,"
			 "\"store_revision\":12}";
	ck_assert_int_eq(pf_store_new(&store, loop, address, metrics), 0);
	zr_store_range(&store, ZR_STORE_OTHER, "a/", true, on_store_done, NULL);
	run_until_finished();
	ck_assert_int_eq(store_reply.error, 0);
	ck_assert_int_eq(store_reply.count, 2);
	ck_assert_str_eq(store_reply.first, "x");
	/* A watch from here includes all changes since the first page. */
	ck_assert_int_eq(store_reply.revision, 9);
	ck_assert_str_eq(fake.query, "a/1");
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
	zr_store_commit(store, ZR_STORE_OTHER, &txn, on_store_done, NULL);
	run_until_finished();
}

START_TEST(test_store_transactions)
{
	struct zr_store store;

	ck_assert_int_eq(pf_store_new(&store, loop, address, metrics), 0);
	fake.body = "{\"revision\":412}";
	commit(&store);
	ck_assert(store_reply.succeeded);
	ck_assert_int_eq(store_reply.revision, 412);
	ck_assert_str_eq(fake.request,
			 "{\"expected_rev\":[{\"key\":\"k\",\"revision\":3}],"
			 "\"puts\":[{\"key\":\"k\",\"value\":\"dg==\","
			 "\"lease\":8}],\"remove\":[\"old\"]}");
	fake.status = 412;
	fake.body = "{\"items\":[{\"key\":\"k\",\"value\":\"eA==\","
		    "\"revision\":4}]}";
	commit(&store);
	ck_assert_int_eq(store_reply.error, 0);
	ck_assert(!store_reply.succeeded);
	ck_assert_int_eq(store_reply.count, 1);
	fake.status = 503;
	commit(&store);
	ck_assert_int_eq(store_reply.error, ZR_E_STORE_DOWN);
	fake.status = 404;
	commit(&store);
	ck_assert_int_eq(store_reply.error, ZR_E_NOT_FOUND);
	zr_store_free(&store);
}
END_TEST

START_TEST(test_store_watch_of_discarded_changes)
{
	struct zr_store store;

	ck_assert_int_eq(pf_store_new(&store, loop, address, metrics), 0);
	fake.status = 410;
	zr_store_watch(&store, "a/", 5, 100, on_store_done, NULL);
	run_until_finished();
	ck_assert_int_eq(store_reply.error, ZR_E_NOT_FOUND);
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
} received;

static void on_request_done(void *ctx, int error,
			    const struct zr_cell_request_reply *reply)
{
	(void)ctx;
	finished = true;
	received.error = error;
	if (!reply)
		return;
	received.status = reply->status;
	received.clock_ms = reply->clock_ms;
}

static void on_poll_done(void *ctx, int error,
			 const struct zr_cell_poll_reply *reply)
{
	(void)ctx;
	finished = true;
	received.error = error;
	if (!reply)
		return;
	received.status = reply->status;
	received.runs = reply->run_count;
	received.ends = reply->end_count;
	if (reply->run_count)
		received.run = reply->runs[0];
	if (reply->end_count)
		received.end = reply->ends[0];
}

static void start_run(struct zr_cell_worker_conn *conn)
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
	conn->ops->start(conn->impl, &start, 500, on_request_done, NULL);
	run_until_finished();
}

START_TEST(test_worker_start)
{
	static const struct {
		int http_status;
		const char *body;
		enum zr_request_status status;
	} responses[] = {
		{200, "{\"clock_ms\":5}", ZR_REQUEST_ACCEPTED},
		{409, "{\"clock_ms\":5,\"reason\":\"fence\"}",
		 ZR_REQUEST_FENCED},
		{409, "{\"reason\":\"old\"}", ZR_REQUEST_SUPERSEDED},
		{409, "{\"reason\":\"late\"}", ZR_REQUEST_LEASE_EXPIRED},
		{409, "{\"reason\":\"room\"}", ZR_REQUEST_NO_CAPACITY},
		{409, "{\"reason\":\"ticket\"}", ZR_REQUEST_NO_PERMIT},
		{409, "{\"reason\":\"else\"}", ZR_REQUEST_INVALID},
		{421, "{}", ZR_REQUEST_WRONG_WORKER},
		{503, "", ZR_REQUEST_UNHEALTHY},
		{400, "nonsense", ZR_REQUEST_INVALID},
	};
	struct zr_cell_worker_conn conn;
	size_t i;

	ck_assert_int_eq(pf_worker_connect(loop, &conn, address, "i-1"), 0);
	for (i = 0; i < sizeof(responses) / sizeof(*responses); i++) {
		fake.status = responses[i].http_status;
		fake.body = responses[i].body;
		start_run(&conn);
		ck_assert_int_eq(received.error, 0);
		ck_assert_int_eq(received.status, responses[i].status);
	}
	/* The worker may have started the run before it failed to say so. */
	fake.status = 500;
	start_run(&conn);
	ck_assert_int_eq(received.error, ZR_E_OUTCOME_UNKNOWN);
	fake.status = 504;
	start_run(&conn);
	ck_assert_int_eq(received.error, ZR_E_OUTCOME_UNKNOWN);
	ck_assert_str_eq(fake.instance, "i-1");
	ck_assert_str_eq(fake.request,
			 "{\"task\":\"0123456789abcdef.1.2.17\",\"attempt\":3,"
			 "\"task_spec\":\"text\",\"deadline_ms\":486000,"
			 "\"fencing_token\":7,\"checkpoint\":\"c1\","
			 "\"ticket\":\"t1\"}");
	conn.ops->free(conn.impl);
}
END_TEST

START_TEST(test_worker_poll)
{
	struct zr_cell_worker_conn conn;

	ck_assert_int_eq(pf_worker_connect(loop, &conn, address, "i-1"), 0);
	fake.body =
		"{\"clock_ms\":9,\"running\":[[\"ab.0.1.17\",2,\"c\",41,12]],"
		"\"finished\":[[58,\"ab.0.1.9\",1,\"done\",\"\"]]}";
	conn.ops->poll(conn.impl, 7, 486000, 57, 100, 700, on_poll_done, NULL);
	run_until_finished();
	ck_assert_int_eq(received.error, 0);
	ck_assert_int_eq(received.runs, 1);
	ck_assert_int_eq(received.run.task.index, 17);
	ck_assert_int_eq(received.run.percent, 41);
	ck_assert_int_eq(received.end.number, 58);
	ck_assert_int_eq(received.end.outcome, ZR_RUN_DONE);
	ck_assert_str_eq(fake.path, "/-/hold");
	fake.body = "{\"running\":[[5]],\"finished\":[]}";
	finished = false;
	conn.ops->poll(conn.impl, 7, 486000, 57, 100, 700, on_poll_done, NULL);
	run_until_finished();
	ck_assert_int_eq(received.error, ZR_E_PROTOCOL);
	conn.ops->free(conn.impl);
}
END_TEST

/*
 * Guards against checkpoints that are cut: a worker that resumed from one of 64
 * characters got the first 47 of them (UNASKED).
 */
START_TEST(test_long_checkpoints)
{
	struct zr_cell_poll_reply reply;
	char text[LONG_TEXT_BYTES + 1];
	json_t *body;

	memset(text, 'c', LONG_TEXT_BYTES);
	text[LONG_TEXT_BYTES] = '\0';
	body = json_pack("{s:i, s:[[s, i, s, i]], s:[[i, s, i, s, s]]}",
			 "clock_ms", 9, "running", "ab.0.1.17", 2, text, 41,
			 "finished", 58, "ab.0.1.9", 1, "stopped", text);
	ck_assert_int_eq(pf_worker_decode_poll(&reply, body), 0);
	ck_assert(!strcmp(reply.runs[0].checkpoint, text));
	ck_assert(!strcmp(reply.ends[0].checkpoint, text));
	free((void *)reply.runs);
	free((void *)reply.ends);
	json_decref(body);
}
END_TEST

/* Guards against workers that are never used since their ticket is long. */
START_TEST(test_long_ticket)
{
	struct zr_cell_permit *permits;
	char text[LONG_TEXT_BYTES + 1];
	uint32_t validity_ms;
	json_t *body;

	memset(text, 't', LONG_TEXT_BYTES);
	text[LONG_TEXT_BYTES] = '\0';
	body = json_pack("{s:[[s, s], [s], [i, s]]}", "good", "i-1", text,
			 "i-2", 3, text);
	ck_assert_uint_eq(pf_adviser_decode(&permits, &validity_ms, body), 1);
	ck_assert_str_eq(permits[0].worker, "i-1");
	ck_assert(!strcmp(permits[0].ticket, text));
	free(permits);
	json_decref(body);
}
END_TEST

/* Adviser */

static struct {
	int error;
	size_t count;
	char first_worker[ZR_NAME_MAX];
	char first_ticket[ZR_NAME_MAX];
	uint32_t validity_ms;
} advice;

static void on_advised(void *ctx, int error,
		       const struct zr_cell_permit *permits, size_t count,
		       uint32_t validity_ms)
{
	(void)ctx;
	finished = true;
	advice.error = error;
	advice.count = count;
	advice.validity_ms = validity_ms;
	if (!count)
		return;
	snprintf(advice.first_worker, sizeof(advice.first_worker), "%s",
		 permits[0].worker);
	snprintf(advice.first_ticket, sizeof(advice.first_ticket), "%s",
		 permits[0].ticket);
}

START_TEST(test_adviser)
{
	static const char *const workers[] = {"i-1", "i-2"};
	struct zr_http_client *client;

	ck_assert_int_eq(zr_http_client_new(&client, loop, address, NULL), 0);
	fake.body = "{\"good\":[[\"i-2\",\"ticket\"]],\"validity_ms\":900}";
	pf_adviser_query(client, "0123456789abcdef", 0, 1, workers, 2, 500,
			 on_advised, NULL);
	run_until_finished();
	ck_assert_int_eq(advice.error, 0);
	ck_assert_int_eq(advice.count, 1);
	ck_assert_str_eq(advice.first_worker, "i-2");
	ck_assert_str_eq(advice.first_ticket, "ticket");
	ck_assert_int_eq(advice.validity_ms, 900);
	ck_assert_str_eq(fake.request, "{\"step\":\"0123456789abcdef.0.1\","
				       "\"workers\":[\"i-1\",\"i-2\"]}");
	fake.status = 429;
	finished = false;
	pf_adviser_query(client, "0123456789abcdef", 0, 1, workers, 2, 500,
			 on_advised, NULL);
	run_until_finished();
	ck_assert_int_eq(advice.error, ZR_E_OVERLOADED);
	zr_http_client_free(client);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("platform");
	TCase *decoding = tcase_create("decoding");
	TCase *calls = tcase_create("calls");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(decoding, test_registry_entry);
	tcase_add_test(decoding, test_invalid_registry_entries);
	tcase_add_test(decoding, test_many_labels);
	tcase_add_test(decoding, test_evacuation_keys);
	tcase_add_test(decoding, test_long_names);
	tcase_add_test(decoding, test_long_zone);
	tcase_add_test(decoding, test_configuration);
	tcase_add_test(decoding, test_long_texts_in_configuration);
	tcase_add_test(decoding, test_unusable_parts_of_configuration);
	tcase_add_test(decoding, test_submission);
	tcase_add_test(decoding, test_invalid_submissions);
	tcase_add_test(decoding, test_submissions_with_too_many_tasks);
	tcase_add_test(decoding, test_job_ids);
	tcase_add_checked_fixture(calls, set_up, NULL);
	tcase_add_test(calls, test_store_range_reads_all_pages);
	tcase_add_test(calls, test_store_transactions);
	tcase_add_test(calls, test_store_watch_of_discarded_changes);
	tcase_add_test(calls, test_worker_start);
	tcase_add_test(calls, test_worker_poll);
	tcase_add_test(calls, test_long_checkpoints);
	tcase_add_test(calls, test_long_ticket);
	tcase_add_test(calls, test_adviser);
	suite_add_tcase(suite, decoding);
	suite_add_tcase(suite, calls);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

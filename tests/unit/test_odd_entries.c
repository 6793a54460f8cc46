#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/counts.h"
#include "cell/records.h"
#include "fakes/rng.h"
#include "net/address.h"
#include "platform.h"
#include "zinniarack/errors.h"

/*
 * Feeds odd documents to each decoder of what the hosts read from others: the
 * registry, the configuration, evacuation requests, jobs, responses of workers
 * and of the adviser, and the records in the store. A document is a valid one
 * that a seeded generator has changed. No decoder may crash or fail a check of
 * the sanitizers, and what it accepts must be within the stated bounds.
 *
 * ZR_INPUTS=N sets the number of documents for each decoder, ZR_SEED=N the seed
 * of the first one.
 */

#define INPUTS 3000
#define TEXT_MAX (1 << 20)
#define CHANGES_MAX 4
#define DEPTH_MAX 400000

struct text {
	char *data;
	size_t length;
};

static struct rng rng;

static uint32_t below(uint32_t bound)
{
	return (uint32_t)(rng_next(&rng) % bound);
}

/* Generator */

/* Replaces @length bytes at @at. */
static void replace(struct text *text, size_t at, size_t length, const char *by,
		    size_t by_length)
{
	size_t rest = text->length - at - length;

	if (text->length - length + by_length >= TEXT_MAX)
		return;
	memmove(text->data + at + by_length, text->data + at + length, rest);
	memcpy(text->data + at, by, by_length);
	text->length += by_length - length;
}

static void insert_text(struct text *text, size_t at, const char *by)
{
	replace(text, at, 0, by, strlen(by));
}

/* Position of a random value of a member or an array, and its length. */
static size_t pick_value(const struct text *text, size_t *length)
{
	size_t begin = text->length ? below((uint32_t)text->length) : 0;
	size_t end;

	while (begin < text->length && !strchr(":[,", text->data[begin]))
		begin++;
	if (begin < text->length)
		begin++;
	for (end = begin; end < text->length; end++) {
		if (strchr(",]}", text->data[end]))
			break;
	}
	*length = end - begin;
	return begin;
}

static void change_value(struct text *text)
{
	static const char *const values[] = {
		"0",
		"-1",
		"1.5",
		"-0.0",
		"1e300",
		"-1e300",
		"1e400",
		"9223372036854775807",
		"-9223372036854775808",
		"9223372036854775808",
		"18446744073709551616",
		"99999999999999999999999999",
		"9223372036854775807.0",
		"4294967295",
		"4294967296",
		"4000000000",
		"65536",
		"99999",
		"9999999999999",
		"true",
		"null",
		"[]",
		"{}",
		"[[[[1]]]]",
		"{\"a\":{\"b\":[]}}",
		"\"\"",
		"\"text\"",
		"\"\\u0000\"",
		"\"a\\u0000b\"",
		"\"\\ud800\"",
		"\"10.0.0.9:0\"",
		"\"10.0.0.9:99999\"",
		"\"10.0.0.9:\\r\\n80\"",
		"\"999.1.1.1:80\"",
		"\"[::1]:80\"",
		"\"draining\"",
		"\"gone\"",
		"\"\xff\xfe\"",
		"\"\xc3\"",
		"\"\xf0\x9f\x92\xa9\"",
	};
	const char *value = values[below(sizeof(values) / sizeof(*values))];
	size_t length;
	size_t at = pick_value(text, &length);

	replace(text, at, length, value, strlen(value));
}

static void insert_long_text(struct text *text)
{
	static char long_text[5000];
	size_t length;
	size_t at = pick_value(text, &length);
	size_t size = 1 + below(sizeof(long_text) - 3);

	memset(long_text, 'a' + (int)below(26), size + 2);
	long_text[0] = '"';
	long_text[size + 1] = '"';
	replace(text, at, length, long_text, size + 2);
}

static void nest(struct text *text)
{
	static const uint32_t depths[] = {3, 100, 2047, 2049, DEPTH_MAX};
	uint32_t depth = depths[below(sizeof(depths) / sizeof(*depths))];
	bool closed = below(2);
	char *brackets = malloc(2 * (size_t)depth);
	size_t length;
	size_t at = pick_value(text, &length);

	memset(brackets, '[', depth);
	memset(brackets + depth, ']', depth);
	replace(text, at, length, brackets, closed ? 2 * (size_t)depth : depth);
	free(brackets);
}

static void duplicate_part(struct text *text)
{
	size_t begin = below((uint32_t)text->length);
	size_t length = 1 + below((uint32_t)(text->length - begin));
	char *part = malloc(length);

	memcpy(part, text->data + begin, length);
	replace(text, begin, 0, part, length);
	free(part);
}

/* Inserts an odd byte, or overwrites one. */
static void change_byte(struct text *text, bool inserts)
{
	uint32_t at = below((uint32_t)text->length);

	if (inserts)
		insert_text(text, at, below(2) ? "\xff" : ",");
	else
		text->data[at] = (char)below(256);
}

static void change_text(struct text *text)
{
	uint32_t choice = below(100);

	if (!text->length)
		return;
	if (choice < 55)
		change_value(text);
	else if (choice < 63)
		insert_long_text(text);
	else if (choice < 65)
		nest(text);
	else if (choice < 73)
		duplicate_part(text);
	else if (choice < 80)
		text->length = below((uint32_t)text->length);
	else
		change_byte(text, choice < 88);
}

/* Fills @text with @length bytes of @valid, changed at one place or more. */
static void generate(struct text *text, const char *valid, size_t length)
{
	uint32_t changes = 1 + below(CHANGES_MAX);

	memcpy(text->data, valid, length);
	text->length = length;
	while (changes--)
		change_text(text);
	/* Values of the store end with a NUL that does not count. */
	text->data[text->length] = '\0';
}

typedef void (*decode_fn)(const struct text *text);

/* The allocation ends right behind the document, for AddressSanitizer. */
static void decode_copy(decode_fn decode, const struct text *text)
{
	struct text copy = {malloc(text->length + 1), text->length};

	memcpy(copy.data, text->data, text->length + 1);
	decode(&copy);
	free(copy.data);
}

static void run(decode_fn decode, const char *valid, size_t length)
{
	const char *inputs = getenv("ZR_INPUTS");
	const char *seed = getenv("ZR_SEED");
	unsigned long count = inputs ? strtoul(inputs, NULL, 10) : INPUTS;
	unsigned long first = seed ? strtoul(seed, NULL, 10) : 1;
	struct text text = {malloc(TEXT_MAX + 1), 0};
	unsigned long i;

	memcpy(text.data, valid, length);
	text.length = length;
	text.data[length] = '\0';
	decode_copy(decode, &text);
	for (i = first; i < first + count; i++) {
		rng = (struct rng){i};
		generate(&text, valid, length);
		decode_copy(decode, &text);
	}
	free(text.data);
}

/* Decoders of the platform's documents */

static void check_label_list(const char *labels, size_t size)
{
	size_t used = 0;

	while (labels[used]) {
		used += strlen(labels + used) + 1;
		ck_assert_uint_lt(used, size);
	}
}

static void check_report(const struct zr_cell_worker_report *report)
{
	struct sockaddr_storage address;

	ck_assert_int_eq(zr_address_parse(&address, report->address), 0);
	ck_assert_ptr_null(strpbrk(report->address, "\r\n"));
	ck_assert_ptr_null(strpbrk(report->name, "/\r\n "));
	ck_assert_uint_gt(strlen(report->name), 0);
	ck_assert_uint_le(report->capacity.millicpus, PF_MILLICPUS_MAX);
	ck_assert_uint_le(report->capacity.memory_mb, PF_MEMORY_MB_MAX);
	ck_assert_uint_le(report->capacity.accelerators, PF_ACCELERATORS_MAX);
	ck_assert_int_ge(report->incarnation, 0);
	ck_assert_int_le(report->incarnation, PF_BORN_MS_MAX);
	ck_assert_int_ge(report->clock_ms, -1);
	ck_assert_int_le(report->clock_ms, PF_TIME_MS_MAX);
	ck_assert_int_ge(report->leaves_in_ms, -1);
	check_label_list(report->labels, sizeof(report->labels));
}

static const char entry[] =
	"{\"service\":\"pool-a\",\"address\":\"10.0.0.9:80\",\"zone\":"
	"\"north\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	"\"cold_remaining_ms\":0,\"remaining_ms\":900,\"capacity\":{\"cpu\":"
	"16000,\"mem_mb\":32768,\"gpu\":1},\"labels\":[\"a\",\"r1-3\"],"
	"\"clock_ms\":482113,\"seq\":4,\"born\":1764900000000}";

static void decode_entry(const struct text *text)
{
	struct zr_cell_worker_report report;
	struct zr_store_value value = {.key = "servers/i-1",
				       .data = text->data,
				       .length = text->length};

	if (!pf_registry_decode(&report, &value))
		check_report(&report);
}

START_TEST(test_registry)
{
	run(decode_entry, entry, strlen(entry));
}
END_TEST

static void decode_entry_key(const struct text *text)
{
	struct zr_cell_worker_report report;
	struct zr_store_value value = {.key = text->data,
				       .data = (void *)entry,
				       .length = strlen(entry)};

	if (strncmp(text->data, PF_REGISTRY_PREFIX, strlen(PF_REGISTRY_PREFIX)))
		return;
	if (!pf_registry_decode(&report, &value))
		check_report(&report);
}

START_TEST(test_registry_keys)
{
	run(decode_entry_key, "servers/i-475ce666", 18);
}
END_TEST

static void decode_evacuation(const struct text *text)
{
	struct zr_store_value value = {.key = text->data};
	char domain[ZR_NAME_MAX];

	if (strncmp(text->data, PF_EVACUATION_PREFIX,
		    strlen(PF_EVACUATION_PREFIX)))
		return;
	if (!pf_evacuation_decode(domain, &value))
		ck_assert_uint_lt(strnlen(domain, ZR_NAME_MAX), ZR_NAME_MAX);
}

START_TEST(test_evacuations)
{
	run(decode_evacuation, "op/evacuate/north", 17);
}
END_TEST

static void decode_config(const struct text *text)
{
	struct zr_store_value value = {.key = PF_CONFIG_PREFIX,
				       .data = text->data,
				       .length = text->length};
	struct zr_cell_config *config;
	size_t i;

	if (pf_config_decode(&config, &value) < 0)
		return;
	for (i = 0; i < config->key_count; i++) {
		ck_assert_uint_lt(config->keys[i].client, config->client_count);
		zr_cell_config_key(config, config->keys[i].key);
	}
	for (i = 0; i < config->queue_count; i++)
		zr_cell_config_route(config, config->queues[i].host,
				     config->queues[i].prefix);
	zr_cell_config_free(config);
}

START_TEST(test_configuration)
{
	static const char valid[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
		"\"prefix\":\"/p/\",\"priority\":1,\"service\":\"s\","
		"\"attempts\":2,\"stretch\":2.2,\"latency_target_ms\":1000,"
		"\"advice\":{\"decision_ms\":410.0,\"period_ms\":5.9,"
		"\"validity_ms\":1500},\"public\":false}],\"services\":[],"
		"\"limits\":{\"max_body_bytes\":1000},\"tenants\":[{\"name\":"
		"\"t\",\"api_keys\":[\"k1\",\"k2\"],\"weight\":37,"
		"\"upper_limit\":{\"cpu\":5000,\"mem_mb\":1,\"gpu\":0}}]}";

	run(decode_config, valid, strlen(valid));
}
END_TEST

static void check_spec(const struct zr_cell_job_spec *spec)
{
	zx_cell_job record = {.queue = "q", .client = "c", .pool = "p"};
	struct zr_cell_job_spec copy;

	/* What is accepted can be stored, and loaded by the next owner. */
	zr_cell_record_from_spec(&record, spec);
	ck_assert_int_eq(zr_cell_spec_from_record(&copy, &record), 0);
	zr_cell_job_spec_clear(&copy);
	zr_cell_record_clear(&record);
}

static void decode_spec(const struct text *text)
{
	struct zr_cell_job_spec spec;

	if (pf_call_decode_job_spec(&spec, text->data, text->length) < 0)
		return;
	check_spec(&spec);
	zr_cell_job_spec_clear(&spec);
}

START_TEST(test_jobs)
{
	static const char valid[] =
		"{\"task_spec\":\"x\",\"repeats\":3,\"first_ms\":1764900000000,"
		"\"interval_ms\":60000,\"steps\":[{\"count\":4,\"cpu\":500},{"
		"\"count\":2,\"cpu\":2000,\"mem_mb\":1,\"gpu\":1,\"after\":[0],"
		"\"gang\":true,\"checkpointing\":true,\"anti_affinity\":3,"
		"\"estimate_ms\":900,\"constraints\":\"a\",\"affinity\":"
		"\"r1-3\",\"max_unavailable\":1,\"target_ms\":50}]}";

	run(decode_spec, valid, strlen(valid));
}
END_TEST

static void decode_poll(const struct text *text)
{
	json_t *body = pf_json_parse(text->data, text->length);
	struct zr_cell_poll_reply reply;
	size_t i;

	if (!pf_worker_decode_poll(&reply, body)) {
		ck_assert_int_ge(reply.incarnation, 0);
		ck_assert_int_le(reply.incarnation, PF_BORN_MS_MAX);
		ck_assert_int_ge(reply.clock_ms, -1);
		ck_assert_int_le(reply.clock_ms, PF_TIME_MS_MAX);
		for (i = 0; i < reply.run_count; i++)
			ck_assert_uint_le(reply.runs[i].percent, 100);
		for (i = 0; i < reply.end_count; i++)
			ck_assert_int_gt(reply.ends[i].number, 0);
		free((void *)reply.runs);
		free((void *)reply.ends);
	}
	json_decref(body);
}

START_TEST(test_polls)
{
	static const char valid[] =
		"{\"clock_ms\":482113,\"born\":1764900000000,\"running\":[["
		"\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb87a21d94b\",41,3.5],["
		"\"5c0e7a21d94b36f8.0.1.18\",1,\"\",0,0]],\"finished\":[[58,"
		"\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"],[59,"
		"\"5c0e7a21d94b36f8.0.1.8\",1,\"lapsed\",\"00000bb87a21d94b\"]"
		"]}";

	run(decode_poll, valid, strlen(valid));
}
END_TEST

static void decode_advice(const struct text *text)
{
	json_t *body = pf_json_parse(text->data, text->length);
	struct zr_cell_permit *permits;
	uint32_t validity_ms;
	size_t count = pf_adviser_decode(&permits, &validity_ms, body);
	size_t i;

	/* Both are texts of the body, whole. */
	for (i = 0; i < count; i++) {
		ck_assert_uint_lt(strlen(permits[i].worker), text->length);
		ck_assert_uint_lt(strlen(permits[i].ticket), text->length);
	}
	free(permits);
	json_decref(body);
}

START_TEST(test_advice)
{
	static const char valid[] =
		"{\"good\":[[\"i-1\",\"ticket-1\"],[\"i-2\",\"ticket-2\"]],"
		"\"validity_ms\":900}";

	run(decode_advice, valid, strlen(valid));
}
END_TEST

/* Records in the store: changed bytes, cut and longer than they should be */

static void decode_progress(const struct text *text)
{
	zx_cell_stored_progress record = {0};

	if (!zr_cell_decode_progress(&record, text->data, text->length))
		zr_cell_progress_clear(&record);
}

START_TEST(test_progress_records)
{
	zx_cell_task tasks[] = {
		{.attempt = 3, .worker = "w1", .checkpoint = "c1"},
		{.attempt = 1, .done = TRUE, .worker = "", .checkpoint = ""},
	};
	zx_cell_crashes crashes[] = {{0, 2, 1, 1}};
	u_int numbers[] = {5};
	zx_cell_worker_name workers[] = {{"w1"}};
	zx_cell_packed_task packed[] = {{1, 2, 1, "c"}};
	zx_cell_stored_progress record = {
		.progress = {.client = "c", .queue = "q", .tasks = {2, tasks}},
		.crashes = {{1, crashes}},
		.runs = {{1, numbers}, {1, numbers}},
		.use = {.placed_ms = 7, .placed_after_ms = {1, numbers}},
	};
	struct zr_cell_buffer bytes;

	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	run(decode_progress, bytes.data, bytes.length);
	free(bytes.data);
	record.progress.tasks.tasks_len = 0;
	record.packed.workers.workers_len = 1;
	record.packed.workers.workers_val = workers;
	record.packed.tasks.tasks_len = 1;
	record.packed.tasks.tasks_val = packed;
	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	run(decode_progress, bytes.data, bytes.length);
	free(bytes.data);
}
END_TEST

static void decode_job(const struct text *text)
{
	struct zr_cell_job_spec spec;
	zx_cell_job record = {0};

	if (zr_cell_decode(&record, (xdrproc_t)xdr_zx_cell_job, text->data,
			   text->length) < 0)
		return;
	if (!zr_cell_spec_from_record(&spec, &record)) {
		check_spec(&spec);
		zr_cell_job_spec_clear(&spec);
	}
	xdr_free((xdrproc_t)xdr_zx_cell_job, &record);
}

START_TEST(test_job_records)
{
	u_int after[] = {0};
	zx_cell_step steps[] = {
		{.count = 3, .label = "a", .rack = ""},
		{.count = 2, .after = {1, after}, .label = "", .rack = "r1-3"},
	};
	zx_cell_job record = {.queue = "q",
			      .client = "c",
			      .pool = "p",
			      .payload = "text",
			      .repeats = 2,
			      .first_ms = 1000,
			      .interval_ms = 1000,
			      .steps = {2, steps}};
	struct zr_cell_buffer bytes;

	ck_assert_int_eq(
		zr_cell_encode(&bytes, (xdrproc_t)xdr_zx_cell_job, &record), 0);
	run(decode_job, bytes.data, bytes.length);
	free(bytes.data);
}
END_TEST

static void decode_counts(const struct text *text)
{
	struct zr_cell_known_counts counts = {0};
	const struct zr_store_value value = {.key = ZR_CELL_COUNTS_KEY,
					     .data = text->data,
					     .length = text->length,
					     .mod_revision = 2};

	if (zr_cell_known_counts_update(&counts, &value, 1, 1))
		zr_cell_known_counts_get(&counts, "q");
	zr_cell_known_counts_clear(&counts);
}

START_TEST(test_counts_records)
{
	zx_cell_count queues[] = {{"q", 3}, {"r", 4}};
	zx_cell_counts record = {{2, queues}};
	struct zr_cell_buffer bytes;

	ck_assert_int_eq(
		zr_cell_encode(&bytes, (xdrproc_t)xdr_zx_cell_counts, &record),
		0);
	run(decode_counts, bytes.data, bytes.length);
	free(bytes.data);
}
END_TEST

/* Regression: odd entries that named a worker, and what they led to. */
START_TEST(test_entries_that_name_no_worker)
{
	static const char *const changes[][2] = {
		/* No connection can be opened. */
		{"10.0.0.9:80", "10.0.0.9:99999"},
		{"10.0.0.9:80", "10.0.0.9:0"},
		{"10.0.0.9:80", "10.0.0.9: 80"},
		{"10.0.0.9:80", "host:80"},
		/* More tasks would be started than the worker can run. */
		{"\"cpu\":16000", "\"cpu\":4000000000"},
		{"\"cpu\":16000", "\"cpu\":9223372036854775807"},
		{"\"cpu\":16000", "\"cpu\":-1"},
		{"\"gpu\":1", "\"gpu\":\"many\""},
		/* No answer would be that of the worker. */
		{"\"born\":1764900000000", "\"born\":9999999999999"},
		{"\"born\":1764900000000", "\"born\":1e300"},
		/* No lease could be computed. */
		{"\"clock_ms\":482113", "\"clock_ms\":9223372036854775807"},
		{"\"clock_ms\":482113", "\"clock_ms\":-5"},
		{"\"remaining_ms\":900", "\"remaining_ms\":1e300"},
	};
	struct zr_cell_worker_report report;
	char text[1024];
	size_t i;

	for (i = 0; i < sizeof(changes) / sizeof(*changes); i++) {
		const char *at = strstr(entry, changes[i][0]);
		struct zr_store_value value = {.key = "servers/i-1",
					       .data = text};

		value.length = (size_t)snprintf(
			text, sizeof(text), "%.*s%s%s", (int)(at - entry),
			entry, changes[i][1], at + strlen(changes[i][0]));
		ck_assert_msg(pf_registry_decode(&report, &value) ==
				      ZR_E_PROTOCOL,
			      "accepted: %s", changes[i][1]);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("odd_entries");
	TCase *tcase = tcase_create("odd_entries");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 0);
	tcase_add_test(tcase, test_entries_that_name_no_worker);
	tcase_add_test(tcase, test_registry);
	tcase_add_test(tcase, test_registry_keys);
	tcase_add_test(tcase, test_evacuations);
	tcase_add_test(tcase, test_configuration);
	tcase_add_test(tcase, test_jobs);
	tcase_add_test(tcase, test_polls);
	tcase_add_test(tcase, test_advice);
	tcase_add_test(tcase, test_progress_records);
	tcase_add_test(tcase, test_job_records);
	tcase_add_test(tcase, test_counts_records);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

/*
 * The client of the platform's store with a host whose link is thin, so that
 * responses take longer than the timeout, and with a store that stops in the
 * middle of a response.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fakes/raw_tcp.h"
#include "net/address.h"
#include "platform.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define NS_PER_MS 1000000ULL
#define POLL_INTERVAL_US 200
#define TEXT_MAX 4096
/* Time between two parts of a response, and the number of parts. */
#define PART_MS 300
#define PARTS 6
#define WATCH_WAIT_MS 100
#define ITEM(key, value) \
	"{\"key\":\"" key "\",\"value\":\"" value "\",\"revision\":7}"
#define PAGE(items, more) \
	"{\"items\":[" items "],\"has_more\":" more ",\"store_revision\":9}"

static uv_loop_t loop;
static int listener;
static struct zr_store store;
static struct zr_metrics *metrics;

static struct {
	bool done;
	int error;
	bool succeeded;
	size_t count;
	char first[TEXT_MAX];
} result;

static void set_up(void)
{
	char address[ZR_ADDRESS_MAX];

	memset(&result, 0, sizeof(result));
	uv_loop_init(&loop);
	zr_metrics_new(&metrics);
	listener = raw_listen(address, sizeof(address));
	ck_assert_int_eq(pf_store_new(&store, &loop, address, metrics), 0);
}

static void tear_down(void)
{
	zr_store_free(&store);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
	zr_metrics_free(metrics);
	close(listener);
}

static void on_done(void *ctx, int error, const struct zr_store_reply *reply)
{
	(void)ctx;
	ck_assert(!result.done);
	result.done = true;
	result.error = error;
	if (!reply)
		return;
	result.succeeded = reply->succeeded;
	result.count = reply->count;
	if (reply->count && reply->values[0].data)
		snprintf(result.first, sizeof(result.first), "%s",
			 (const char *)reply->values[0].data);
}

static void run_for(unsigned int ms)
{
	uint64_t end = uv_hrtime() + ms * NS_PER_MS;

	while (uv_hrtime() < end) {
		uv_run(&loop, UV_RUN_NOWAIT);
		usleep(POLL_INTERVAL_US);
	}
}

/* Waits for a request, on a new connection, that begins with @text. */
static int accept_request(const char *text)
{
	char request[TEXT_MAX];
	int fd = raw_accept(&loop, listener);

	ck_assert_int_ge(fd, 0);
	ck_assert(raw_read(&loop, fd, request, sizeof(request), "\r\n\r\n"));
	ck_assert_msg(!strncmp(request, text, strlen(text)), "%s", request);
	return fd;
}

static void send_head(int fd, int status, size_t length)
{
	char head[TEXT_MAX];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d Status\r\nContent-Length: %zu\r\n\r\n", status,
		 length);
	raw_send(fd, head, strlen(head));
}

/* Sends a response that needs longer than the timeout of a call. */
static void respond_in_parts(int fd, int status, const char *body)
{
	size_t length = strlen(body);
	size_t sent = 0;
	int i;

	send_head(fd, status, length);
	for (i = 1; i <= PARTS && !result.done; i++) {
		size_t end = length * (size_t)i / PARTS;

		run_for(PART_MS);
		raw_send(fd, body + sent, end - sent);
		sent = end;
	}
	ck_assert(raw_run(&loop, &result.done));
	close(fd);
}

static void respond(int fd, const char *body)
{
	send_head(fd, 200, strlen(body));
	raw_send(fd, body, strlen(body));
}

/* Begins a response and closes the connection before its end. */
static void cut_off(int fd)
{
	send_head(fd, 200, 100);
	raw_send(fd, "{\"items\":[", 10);
	run_for(PART_MS);
	close(fd);
}

/* Transfers that take longer than the timeout */

/* The read of a large configuration was given up and begun again for ever. */
START_TEST(test_key_that_arrives_slowly_is_read)
{
	zr_store_range(&store, ZR_STORE_CONFIG, "op/config", false, on_done,
		       NULL);
	respond_in_parts(accept_request("GET /-/kv-key?key=op/config "), 200,
			 ITEM("op/config", "eA=="));
	ck_assert_int_eq(result.error, 0);
	ck_assert_str_eq(result.first, "x");
}
END_TEST

START_TEST(test_prefix_that_arrives_slowly_is_read)
{
	zr_store_range(&store, ZR_STORE_CONFIG, "op/config", true, on_done,
		       NULL);
	respond_in_parts(accept_request("GET /-/kv-range?prefix=op/config "),
			 200, PAGE(ITEM("op/config", "eA=="), "false"));
	ck_assert_int_eq(result.error, 0);
	ck_assert_str_eq(result.first, "x");
}
END_TEST

/* The response to a failed comparison carries the documents compared. */
START_TEST(test_failed_comparison_that_arrives_slowly_is_read)
{
	const struct zr_store_compare compare = {"k", 3};
	const struct zr_store_put put = {"k", "v", 1, 0};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	zr_store_commit(&store, ZR_STORE_ACCEPT, &txn, on_done, NULL);
	respond_in_parts(accept_request("POST /-/kv-txn "), 412,
			 PAGE(ITEM("k", "eA=="), "false"));
	ck_assert_int_eq(result.error, 0);
	ck_assert(!result.succeeded);
	ck_assert_str_eq(result.first, "x");
}
END_TEST

START_TEST(test_watch_whose_changes_arrive_slowly_is_read)
{
	zr_store_watch(&store, "a/", 5, WATCH_WAIT_MS, on_done, NULL);
	respond_in_parts(accept_request("GET /-/kv-watch?prefix=a/&after=5&"),
			 200, "{\"events\":[" ITEM("a/1", "eA==") "]}");
	ck_assert_int_eq(result.error, 0);
	ck_assert_str_eq(result.first, "x");
}
END_TEST

/* A watch must not wait for its whole time if the store stops in the middle. */
START_TEST(test_watch_that_stalls_fails)
{
	int fd;

	zr_store_watch(&store, "a/", 5, 30000, on_done, NULL);
	fd = accept_request("GET /-/kv-watch?prefix=a/&after=5&");
	send_head(fd, 200, 100);
	ck_assert(raw_run(&loop, &result.done));
	ck_assert_int_eq(result.error, ZR_E_STORE_DOWN);
	close(fd);
}
END_TEST

/* Pages */

/* Pages that arrived must not be read again because a later one is cut off. */
START_TEST(test_page_that_is_cut_off_is_read_again)
{
	int first;
	int again;

	zr_store_range(&store, ZR_STORE_OTHER, "a/", true, on_done, NULL);
	first = accept_request("GET /-/kv-range?prefix=a/ ");
	respond(first, PAGE(ITEM("a/1", "eA=="), "true"));
	/* The second page is requested over the same connection. */
	run_for(PART_MS);
	cut_off(first);
	again = accept_request("GET /-/kv-range?prefix=a/&after=a/1 ");
	respond(again, PAGE(ITEM("a/2", "eQ=="), "false"));
	ck_assert(raw_run(&loop, &result.done));
	ck_assert_int_eq(result.error, 0);
	ck_assert_int_eq(result.count, 2);
	ck_assert_str_eq(result.first, "x");
	close(again);
}
END_TEST

/* A store that cuts off each attempt must not hold the read for ever. */
START_TEST(test_page_is_read_again_a_few_times_only)
{
	int fd;
	int i;

	zr_store_range(&store, ZR_STORE_OTHER, "a/", true, on_done, NULL);
	fd = accept_request("GET /-/kv-range?prefix=a/ ");
	respond(fd, PAGE(ITEM("a/1", "eA=="), "true"));
	run_for(PART_MS);
	cut_off(fd);
	for (i = 0; i < 2; i++) {
		ck_assert(!result.done);
		cut_off(accept_request("GET /-/kv-range?prefix=a/&after=a/1 "));
	}
	ck_assert(raw_run(&loop, &result.done));
	ck_assert_int_eq(result.error, ZR_E_STORE_DOWN);
}
END_TEST

/* The end of a page while the store is freed must not begin another call. */
START_TEST(test_store_is_freed_between_pages)
{
	int fd;

	zr_store_range(&store, ZR_STORE_OTHER, "a/", true, on_done, NULL);
	fd = accept_request("GET /-/kv-range?prefix=a/ ");
	respond(fd, PAGE(ITEM("a/1", "eA=="), "true"));
	run_for(PART_MS);
	zr_store_free(&store);
	ck_assert(result.done);
	ck_assert_int_lt(result.error, 0);
	close(fd);
}
END_TEST

/* Whether a response is arriving */

static void wait_receiving(void)
{
	int i;

	for (i = 0; i < 1000 && !zr_store_receiving(&store); i++)
		run_for(1);
	ck_assert(zr_store_receiving(&store));
}

/*
 * A busy link must be told from a store that is away: responses arrive over it,
 * and a store that has begun a response and stopped is away.
 */
START_TEST(test_receiving_while_a_response_arrives)
{
	const char *body = ITEM("op/config", "eA==");
	int fd;
	int i;

	ck_assert(!zr_store_receiving(&store));
	zr_store_range(&store, ZR_STORE_CONFIG, "op/config", false, on_done,
		       NULL);
	fd = accept_request("GET /-/kv-key?key=op/config ");
	run_for(PART_MS);
	ck_assert(!zr_store_receiving(&store));
	send_head(fd, 200, strlen(body));
	for (i = 0; i < PARTS; i++) {
		raw_send(fd, body + i, 1);
		wait_receiving();
		run_for(100);
	}
	run_for(600);
	ck_assert(!zr_store_receiving(&store));
	raw_send(fd, body + i, strlen(body + i));
	ck_assert(raw_run(&loop, &result.done));
	ck_assert(!zr_store_receiving(&store));
	close(fd);
}
END_TEST

START_TEST(test_receiving_while_a_watch_arrives)
{
	int fd;

	zr_store_watch(&store, "a/", 5, 30000, on_done, NULL);
	fd = accept_request("GET /-/kv-watch?prefix=a/&after=5&");
	ck_assert(!zr_store_receiving(&store));
	send_head(fd, 200, 100);
	wait_receiving();
	zr_store_free(&store);
	ck_assert(!zr_store_receiving(&store));
	close(fd);
}
END_TEST

/* A range is one read: it is arriving between two of its pages, too. */
START_TEST(test_receiving_between_pages)
{
	int fd;

	zr_store_range(&store, ZR_STORE_OTHER, "a/", true, on_done, NULL);
	fd = accept_request("GET /-/kv-range?prefix=a/ ");
	respond(fd, PAGE(ITEM("a/1", "eA=="), "true"));
	wait_receiving();
	run_for(600);
	ck_assert(!zr_store_receiving(&store));
	respond(fd, PAGE(ITEM("a/2", "eQ=="), "false"));
	ck_assert(raw_run(&loop, &result.done));
	ck_assert_int_eq(result.count, 2);
	ck_assert(!zr_store_receiving(&store));
	close(fd);
}
END_TEST

/* Metrics and log */

static int64_t bytes_from_store(const char *purpose)
{
	char labels[TEXT_MAX];

	snprintf(labels, sizeof(labels), "purpose=\"%s\"", purpose);
	return zr_metrics_get_or_add_counter(
		       metrics, "zinniarack_store_bytes_total", labels, "")
		->value;
}

static size_t count_lines(FILE *file, const char *event, char *out, size_t size)
{
	char line[TEXT_MAX];
	size_t count = 0;

	rewind(file);
	while (fgets(line, sizeof(line), file)) {
		if (!strstr(line, event))
			continue;
		count++;
		snprintf(out, size, "%s", line);
	}
	return count;
}

/* The monitoring could not tell what had filled the link. */
START_TEST(test_received_bytes_are_counted_by_purpose)
{
	const char *body = ITEM("op/config", "eA==");
	int fd;

	zr_store_range(&store, ZR_STORE_CONFIG, "op/config", false, on_done,
		       NULL);
	fd = accept_request("GET /-/kv-key?key=op/config ");
	send_head(fd, 200, strlen(body));
	raw_send(fd, body, strlen(body));
	ck_assert(raw_run(&loop, &result.done));
	ck_assert_int_gt(bytes_from_store("config"), (int64_t)strlen(body));
	ck_assert_int_lt(bytes_from_store("config"), TEXT_MAX);
	ck_assert_int_eq(bytes_from_store("accept"), 0);
	result.done = false;
	zr_store_watch(&store, "a/", 5, 30000, on_done, NULL);
	close(fd);
	fd = accept_request("GET /-/kv-watch?prefix=a/&after=5&");
	raw_send(fd, "HTTP/1.1 200", 12);
	run_for(PART_MS);
	close(fd);
	ck_assert(raw_run(&loop, &result.done));
	ck_assert_int_eq(bytes_from_store("watch"), 12);
}
END_TEST

static void read_and_cut_off(const char *key)
{
	char request[TEXT_MAX];

	result.done = false;
	snprintf(request, sizeof(request), "GET /-/kv-key?key=%s ", key);
	zr_store_range(&store, ZR_STORE_CONFIG, key, false, on_done, NULL);
	cut_off(accept_request(request));
	ck_assert(raw_run(&loop, &result.done));
	ck_assert_int_eq(result.error, ZR_E_STORE_DOWN);
}

/*
 * A read that failed on the way left no line, so that a slow own link could not
 * be told from a store that is away.
 */
START_TEST(test_read_that_is_cut_off_is_logged)
{
	FILE *log = tmpfile();
	int saved = dup(STDERR_FILENO);
	char line[TEXT_MAX] = "";
	size_t first;
	size_t second;
	size_t third;
	uint64_t begun;
	uint64_t seconds;
	int fd;

	fflush(stderr);
	dup2(fileno(log), STDERR_FILENO);
	zr_log_init("test", ZR_LOG_WARN, ZR_LOG_TEXT);
	/* Without any bytes of the response there is no line. */
	zr_store_range(&store, ZR_STORE_CONFIG, "a", false, on_done, NULL);
	fd = accept_request("GET /-/kv-key?key=a ");
	close(fd);
	ck_assert(raw_run(&loop, &result.done));
	fflush(stderr);
	first = count_lines(log, "store.read_cut_off", line, sizeof(line));
	begun = uv_hrtime();
	read_and_cut_off("b");
	read_and_cut_off("c");
	/* Not more than one line a second. */
	seconds = (uv_hrtime() - begun) / (1000 * NS_PER_MS);
	fflush(stderr);
	second = count_lines(log, "store.read_cut_off", line, sizeof(line));
	run_for(1000);
	read_and_cut_off("d");
	fflush(stderr);
	third = count_lines(log, "store.read_cut_off", line, sizeof(line));
	zr_log_close();
	dup2(saved, STDERR_FILENO);
	close(saved);
	fclose(log);
	ck_assert_uint_eq(first, 0);
	ck_assert_uint_ge(second, 1);
	ck_assert_uint_le(second, 1 + seconds);
	ck_assert_uint_eq(third, second + 1);
	ck_assert_msg(strstr(line, "store.read_cut_off purpose=config "
				   "bytes=54 took_ms="),
		      "%s", line);
	ck_assert_msg(strstr(line, " error=outcome_unknown"), "%s", line);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("platform_store");
	TCase *tests = tcase_create("responses");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tests, 120);
	tcase_add_checked_fixture(tests, set_up, tear_down);
	tcase_add_test(tests, test_key_that_arrives_slowly_is_read);
	tcase_add_test(tests, test_prefix_that_arrives_slowly_is_read);
	tcase_add_test(tests,
		       test_failed_comparison_that_arrives_slowly_is_read);
	tcase_add_test(tests, test_watch_whose_changes_arrive_slowly_is_read);
	tcase_add_test(tests, test_watch_that_stalls_fails);
	tcase_add_test(tests, test_page_that_is_cut_off_is_read_again);
	tcase_add_test(tests, test_page_is_read_again_a_few_times_only);
	tcase_add_test(tests, test_store_is_freed_between_pages);
	tcase_add_test(tests, test_receiving_while_a_response_arrives);
	tcase_add_test(tests, test_receiving_while_a_watch_arrives);
	tcase_add_test(tests, test_receiving_between_pages);
	tcase_add_test(tests, test_received_bytes_are_counted_by_purpose);
	tcase_add_test(tests, test_read_that_is_cut_off_is_logged);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

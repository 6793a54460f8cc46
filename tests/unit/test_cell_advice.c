#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "cell/advice.h"

#define PROXIES 9
#define LONG_QUERY_MS 500
#define MEDIUM_QUERY_MS 100
#define SHORT_QUERY_MS 10

static struct zr_cell_advice advice;

static void add_proxies(void)
{
	struct zr_cell_adviser_proxy proxies[PROXIES] = {0};
	int i;

	for (i = 0; i < PROXIES; i++)
		snprintf(proxies[i].name, ZR_NAME_MAX, "host-%d", i);
	zr_cell_advice_clear(&advice);
	advice = (struct zr_cell_advice){0};
	zr_cell_advice_set_proxies(&advice, proxies, PROXIES);
}

/* Starts queries until no proxy is left for another; returns their number. */
static int query_until_refused(uint32_t query_ms)
{
	struct zr_cell_adviser_proxy_state *proxy;
	int count = 0;

	while ((proxy = zr_cell_advice_pick_proxy(&advice, 0, query_ms))) {
		proxy->busy = true;
		count++;
	}
	return count;
}

/* Many long queries must not delay a short query, for which a user waits. */
START_TEST(test_long_queries_leave_proxies_idle)
{
	add_proxies();
	ck_assert_int_eq(query_until_refused(LONG_QUERY_MS), PROXIES - 3);
	ck_assert_int_eq(query_until_refused(MEDIUM_QUERY_MS), 2);
	ck_assert_int_eq(query_until_refused(SHORT_QUERY_MS), 1);
}
END_TEST

START_TEST(test_single_proxy_takes_long_query)
{
	struct zr_cell_adviser_proxy one = {.name = "host"};

	zr_cell_advice_clear(&advice);
	advice = (struct zr_cell_advice){0};
	zr_cell_advice_set_proxies(&advice, &one, 1);
	ck_assert_int_eq(query_until_refused(LONG_QUERY_MS), 1);
}
END_TEST

START_TEST(test_proxy_backs_off_after_failure)
{
	add_proxies();
	advice.proxies[0]->backoff_until = 100;
	ck_assert_int_eq(zr_cell_advice_idle_count(&advice, 50), PROXIES - 1);
	ck_assert_int_eq(zr_cell_advice_idle_count(&advice, 100), PROXIES);
}
END_TEST

/*
 * Names the proxies @from to @from + @count - 1; on a large fleet all hosts are
 * replaced in turn, each by one of another name.
 */
static void set_fleet(int from, int count)
{
	struct zr_cell_adviser_proxy *proxies =
		calloc((size_t)count, sizeof(*proxies));
	int i;

	for (i = 0; i < count; i++)
		snprintf(proxies[i].name, ZR_NAME_MAX, "host-%d", from + i);
	zr_cell_advice_set_proxies(&advice, proxies, (size_t)count);
	free(proxies);
}

/* Each host makes one call at a time, so all of them are needed in a burst. */
START_TEST(test_all_hosts_of_a_large_fleet_are_used)
{
	zr_cell_advice_clear(&advice);
	set_fleet(0, 797);
	ck_assert_int_eq(query_until_refused(SHORT_QUERY_MS), 797);
}
END_TEST

/*
 * A burst of wide gangs keeps most proxies busy. A query that was split over
 * four of them would then take the adviser's fixed time four times, and the
 * other gangs would wait for as long.
 */
START_TEST(test_queries_are_not_split_in_a_burst)
{
	size_t i;

	zr_cell_advice_clear(&advice);
	set_fleet(0, 96);
	ck_assert_int_eq(zr_cell_advice_chunk_size(&advice, 0, 96), 24);
	ck_assert_int_eq(zr_cell_advice_chunk_size(&advice, 0, 20), 20);
	for (i = 0; i < 49; i++)
		advice.proxies[i]->busy = true;
	ck_assert_int_eq(zr_cell_advice_chunk_size(&advice, 0, 96), 96);
}
END_TEST

START_TEST(test_replaced_hosts_are_removed)
{
	struct zr_cell_adviser_proxy_state *busy;
	int from;

	zr_cell_advice_clear(&advice);
	set_fleet(0, 97);
	busy = zr_cell_advice_pick_proxy(&advice, 0, SHORT_QUERY_MS);
	busy->busy = true;
	for (from = 1; from <= 200; from++)
		set_fleet(from, 97);
	/* The one whose query is pending is removed when that has ended. */
	ck_assert_int_eq(advice.count, 98);
	busy->busy = false;
	set_fleet(from, 97);
	ck_assert_int_eq(advice.count, 97);
	ck_assert_int_eq(zr_cell_advice_idle_count(&advice, 0), 97);
}
END_TEST

START_TEST(test_permit_rate_follows_the_answers)
{
	int i;

	add_proxies();
	for (i = 0; i < 100; i++)
		zr_cell_advice_record_answer(&advice, "q", 40, 10);
	ck_assert_int_eq(zr_cell_advice_permitted_permille(&advice, "q"), 250);
	/*
	 * The rate has a minimum: after some answers without a permitted
	 * worker, the next query must not have to name all workers.
	 */
	for (i = 0; i < 100; i++)
		zr_cell_advice_record_answer(&advice, "q", 40, 0);
	ck_assert_int_ge(zr_cell_advice_permitted_permille(&advice, "q"), 50);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_advice");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_long_queries_leave_proxies_idle);
	tcase_add_test(tcase, test_single_proxy_takes_long_query);
	tcase_add_test(tcase, test_proxy_backs_off_after_failure);
	tcase_add_test(tcase, test_all_hosts_of_a_large_fleet_are_used);
	tcase_add_test(tcase, test_queries_are_not_split_in_a_burst);
	tcase_add_test(tcase, test_replaced_hosts_are_removed);
	tcase_add_test(tcase, test_permit_rate_follows_the_answers);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

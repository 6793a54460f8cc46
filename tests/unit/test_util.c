#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base64.h"
#include "zinniarack/clock.h"
#include "zinniarack/errors.h"
#include "zinniarack/metrics.h"
#include "zinniarack/table.h"

START_TEST(test_error_names_are_unique)
{
	int code;

	for (code = 0; code > ZR_E_LAST; code--)
		ck_assert_int_eq(zr_error_from_name(zr_error_name(code)), code);
	ck_assert_str_eq(zr_error_name(ZR_E_LAST), "unknown_error");
	ck_assert_str_eq(zr_error_name(1), "unknown_error");
}
END_TEST

START_TEST(test_table_detects_old_handles)
{
	struct zr_table *table;
	zr_handle first;
	zr_handle second;

	ck_assert_int_eq(zr_table_new(&table, sizeof(int)), 0);
	ck_assert_int_eq(zr_table_add(&first, table), 0);
	zr_table_remove(table, first);
	ck_assert_ptr_null(zr_table_get(table, first));
	ck_assert_int_eq(zr_table_add(&second, table), 0);
	ck_assert_uint_eq(zr_handle_index(first), zr_handle_index(second));
	ck_assert_uint_ne(first, second);
	ck_assert_ptr_null(zr_table_get(table, first));
	ck_assert_ptr_nonnull(zr_table_get(table, second));
	zr_table_free(table);
}
END_TEST

START_TEST(test_table_iteration_visits_each_entry_once)
{
	struct zr_table *table;
	zr_handle handles[100];
	zr_handle handle = ZR_HANDLE_NONE;
	int visited = 0;
	int i;

	ck_assert_int_eq(zr_table_new(&table, sizeof(int)), 0);
	for (i = 0; i < 100; i++)
		ck_assert_int_eq(zr_table_add(&handles[i], table), 0);
	for (i = 0; i < 100; i += 2)
		zr_table_remove(table, handles[i]);
	while ((handle = zr_table_next(table, handle)))
		visited++;
	ck_assert_int_eq(visited, 50);
	ck_assert_uint_eq(zr_table_count(table), 50);
	zr_table_free(table);
}
END_TEST

START_TEST(test_time_arithmetic_crosses_seconds)
{
	struct timespec t = {10, 900000000};

	t = zr_time_add_ms(t, 200);
	ck_assert_int_eq(t.tv_sec, 11);
	ck_assert_int_eq(t.tv_nsec, 100000000);
	t = zr_time_add_ms(t, -1200);
	ck_assert_int_eq(zr_time_to_ms(t), 9900);
	ck_assert_int_eq(zr_time_diff_ms(t, zr_time_from_ms(10000)), -100);
}
END_TEST

START_TEST(test_metrics_text_groups_series_of_a_name)
{
	struct zr_metrics *metrics;
	size_t length;
	char *text;

	ck_assert_int_eq(zr_metrics_new(&metrics), 0);
	zr_metrics_get_or_add_counter(metrics, "a_total", "x=\"1\"", "A.")
		->value = 3;
	zr_metrics_get_or_add_counter(metrics, "b_total", NULL, "B.")->value =
		4;
	zr_metrics_get_or_add_counter(metrics, "a_total", "x=\"2\"", "A.")
		->value = 5;
	ck_assert_int_eq(zr_metrics_format(&text, &length, metrics), 0);
	ck_assert_str_eq(text, "# HELP a_total A.\n"
			       "# TYPE a_total counter\n"
			       "a_total{x=\"1\"} 3\n"
			       "a_total{x=\"2\"} 5\n"
			       "# HELP b_total B.\n"
			       "# TYPE b_total counter\n"
			       "b_total 4\n");
	free(text);
	zr_metrics_free(metrics);
}
END_TEST

START_TEST(test_base64_round_trip)
{
	static const char bytes[] = {0, 1, 2, 3, 'z', 0};
	size_t length;
	void *back;
	size_t i;

	for (i = 0; i <= sizeof(bytes); i++) {
		char *text = zr_base64_encode(bytes, i);

		ck_assert_int_eq(zr_base64_decode(&back, &length, text), 0);
		ck_assert_uint_eq(length, i);
		ck_assert_mem_eq(back, bytes, i);
		free(text);
		free(back);
	}
	ck_assert_int_eq(zr_base64_decode(&back, &length, "?"), ZR_E_PROTOCOL);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("util");
	TCase *tcase = tcase_create("util");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_error_names_are_unique);
	tcase_add_test(tcase, test_table_detects_old_handles);
	tcase_add_test(tcase, test_table_iteration_visits_each_entry_once);
	tcase_add_test(tcase, test_time_arithmetic_crosses_seconds);
	tcase_add_test(tcase, test_metrics_text_groups_series_of_a_name);
	tcase_add_test(tcase, test_base64_round_trip);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

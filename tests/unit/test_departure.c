#include <check.h>
#include <stdlib.h>

#include "cell/policy/departure.h"

#define STOP_MS 450

static enum zr_departure_verdict decide(int64_t remaining_ms, int64_t left_ms,
					bool saves_checkpoints)
{
	const struct zr_departure_view view = {
		.remaining_ms = remaining_ms,
		.left_ms = left_ms,
		.saves_checkpoints = saves_checkpoints,
		.stop_ms = STOP_MS,
	};

	return zr_departure_decide(&view);
}

/* Guards against stopping work that would have finished in time. */
START_TEST(test_short_runs_finish)
{
	ck_assert_int_eq(decide(800, 2000, false), ZR_DEPARTURE_CONTINUE);
	ck_assert_int_eq(decide(800, 2000, true), ZR_DEPARTURE_CONTINUE);
	ck_assert_int_eq(decide(0, STOP_MS, true), ZR_DEPARTURE_CONTINUE);
}
END_TEST

/*
 * Guards against gangs of 5 s that run to the end of a notice of 2 s, whose
 * whole work is lost then.
 */
START_TEST(test_hopeless_runs_stop_at_once)
{
	ck_assert_int_eq(decide(5000, 2000, false), ZR_DEPARTURE_RESTART);
	ck_assert_int_eq(decide(5000, 2000, true), ZR_DEPARTURE_SAVE);
}
END_TEST

/* Guards against giving up a run by a remaining time that is only rough. */
START_TEST(test_uncertain_runs_save_at_the_end)
{
	ck_assert_int_eq(decide(2400, 2000, true), ZR_DEPARTURE_CONTINUE);
	ck_assert_int_eq(decide(2400, 2000, false), ZR_DEPARTURE_CONTINUE);
	ck_assert_int_eq(decide(600, STOP_MS, true), ZR_DEPARTURE_SAVE);
	ck_assert_int_eq(decide(600, STOP_MS, false), ZR_DEPARTURE_CONTINUE);
	ck_assert_int_eq(decide(ZR_DEPARTURE_UNKNOWN, 2000, true),
			 ZR_DEPARTURE_CONTINUE);
	ck_assert_int_eq(decide(ZR_DEPARTURE_UNKNOWN, STOP_MS, true),
			 ZR_DEPARTURE_SAVE);
}
END_TEST

/* Guards against trust in a submitter's estimate where progress is known. */
START_TEST(test_progress_comes_before_the_estimate)
{
	const struct zr_departure_run half_done = {
		.estimate_ms = 1000,
		.elapsed_ms = 4500,
		.percent = 50,
		.percent_elapsed_ms = 4000,
	};
	const struct zr_departure_run just_begun = {
		.estimate_ms = 1000,
		.elapsed_ms = 100,
		.percent = 2,
		.percent_elapsed_ms = 50,
	};
	const struct zr_departure_run overdue = {.estimate_ms = 1000,
						 .elapsed_ms = 1500};
	const struct zr_departure_run done = {.percent = 100};
	const struct zr_departure_run no_estimate = {.elapsed_ms = 100};

	ck_assert_int_eq(zr_departure_remaining_ms(&half_done), 3500);
	ck_assert_int_eq(zr_departure_remaining_ms(&just_begun), 900);
	ck_assert_int_eq(zr_departure_remaining_ms(&overdue), 1000);
	ck_assert_int_eq(zr_departure_remaining_ms(&done), 0);
	ck_assert_int_eq(zr_departure_remaining_ms(&no_estimate),
			 ZR_DEPARTURE_UNKNOWN);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("departure");
	TCase *tests = tcase_create("decisions");
	SRunner *runner;
	int failed;

	tcase_add_test(tests, test_short_runs_finish);
	tcase_add_test(tests, test_hopeless_runs_stop_at_once);
	tcase_add_test(tests, test_uncertain_runs_save_at_the_end);
	tcase_add_test(tests, test_progress_comes_before_the_estimate);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

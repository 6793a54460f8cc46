#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"

#define SECOND_MS INT64_C(1000)

static struct zr_cell_step_spec step = {.estimate_ms = 1000};

static struct zr_cell_job make_job(uint32_t priority, int64_t accepted_at)
{
	struct zr_cell_job job = {
		.priority = priority,
		.accepted_at = accepted_at,
		.stretch_permille = 2000,
		.latency_target_ms = 500,
		.spec = {.steps = &step, .step_count = 1},
	};

	return job;
}

START_TEST(test_objective_is_stretch_and_latency_target)
{
	struct zr_cell_job job = make_job(0, 0);

	ck_assert_int_eq(zr_cell_priority_objective_ms(&job), 2500);
}
END_TEST

/*
 * After a burst, jobs that can still meet their objective come before late jobs
 * of a higher priority, and those before jobs that have no value any more.
 */
START_TEST(test_backlog_after_a_burst)
{
	struct zr_cell_job fresh = make_job(2, 100 * SECOND_MS - 1000);
	struct zr_cell_job late = make_job(0, 100 * SECOND_MS - 4000);
	struct zr_cell_job worthless = make_job(0, 100 * SECOND_MS - 9000);
	int64_t now = 100 * SECOND_MS;

	ck_assert(zr_cell_priority_rank(&fresh, 0, now) <
		  zr_cell_priority_rank(&late, 0, now));
	ck_assert(zr_cell_priority_rank(&late, 0, now) <
		  zr_cell_priority_rank(&worthless, 0, now));
}
END_TEST

/*
 * On a full cell, jobs wait long. A job that can no longer end before its
 * objective is ranked behind a younger job that can, unless it has begun.
 */
START_TEST(test_job_that_would_end_late_waits)
{
	struct zr_cell_step_state waiting = {.spec = &step, .waiting = 1};
	struct zr_cell_step_state begun = {.spec = &step, .active_tasks = 1};
	struct zr_cell_job older = make_job(1, 100 * SECOND_MS - 2000);
	struct zr_cell_job younger = make_job(1, 100 * SECOND_MS - 1000);
	int64_t now = 100 * SECOND_MS;

	step.count = 1;
	older.step_count = 1;
	younger.step_count = 1;
	younger.steps = &waiting;
	older.steps = &waiting;
	ck_assert(zr_cell_priority_rank(&younger, 0, now) <
		  zr_cell_priority_rank(&older, 0, now));
	older.steps = &begun;
	ck_assert(zr_cell_priority_rank(&older, 0, now) <
		  zr_cell_priority_rank(&younger, 0, now));
}
END_TEST

START_TEST(test_lower_priority_number_comes_first)
{
	struct zr_cell_job urgent = make_job(0, 100 * SECOND_MS);
	struct zr_cell_job older = make_job(1, 100 * SECOND_MS - 2000);

	ck_assert(zr_cell_priority_rank(&urgent, 0, 100 * SECOND_MS) <
		  zr_cell_priority_rank(&older, 0, 100 * SECOND_MS));
}
END_TEST

/* One client account submits ten times its rate; another stays within it. */
START_TEST(test_client_above_its_rate)
{
	struct zr_cell_client_state hot = {.weight = 10};
	struct zr_cell_client_state calm = {.weight = 10};
	int hot_within_rate = 0;
	int calm_within_rate = 0;
	int64_t t;

	for (t = 0; t < 20 * SECOND_MS; t += 10)
		hot_within_rate +=
			zr_cell_priority_charge(&hot, 1000 * SECOND_MS + t);
	for (t = 0; t < 20 * SECOND_MS; t += 110)
		calm_within_rate +=
			zr_cell_priority_charge(&calm, 1000 * SECOND_MS + t);
	/* Its weight is 10 jobs per second: 20 s, and a burst of 2 s. */
	ck_assert_int_ge(hot_within_rate, 200);
	ck_assert_int_le(hot_within_rate, 222);
	ck_assert_int_eq(calm_within_rate, 20 * SECOND_MS / 110 + 1);
}
END_TEST

START_TEST(test_job_over_share_waits)
{
	struct zr_cell_job above_rate = make_job(0, 100 * SECOND_MS - 100);
	struct zr_cell_job late = make_job(2, 100 * SECOND_MS - 4000);

	above_rate.over_share = true;
	ck_assert(zr_cell_priority_rank(&late, 0, 100 * SECOND_MS) <
		  zr_cell_priority_rank(&above_rate, 0, 100 * SECOND_MS));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_priority");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_objective_is_stretch_and_latency_target);
	tcase_add_test(tcase, test_backlog_after_a_burst);
	tcase_add_test(tcase, test_job_that_would_end_late_waits);
	tcase_add_test(tcase, test_lower_priority_number_comes_first);
	tcase_add_test(tcase, test_client_above_its_rate);
	tcase_add_test(tcase, test_job_over_share_waits);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

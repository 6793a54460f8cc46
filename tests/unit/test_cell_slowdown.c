#include <check.h>
#include <stdlib.h>

#include "cell/plan.h"

#define ESTIMATE_MS INT64_C(600)

static struct zr_cell_model model;
static struct zr_cell_worker normal;
static struct zr_cell_worker slow;

static void set_up(void)
{
	int64_t t;

	model = (struct zr_cell_model){0};
	normal = (struct zr_cell_worker){0};
	slow = (struct zr_cell_worker){0};
	for (t = 0; t < 3000; t += 50)
		zr_cell_slowdown_add_run(&model, &normal, ESTIMATE_MS,
					 ESTIMATE_MS + t % 200, t);
}

/* A worker that becomes six times slower is found after two runs. */
START_TEST(test_slow_worker_is_found_by_its_runs)
{
	zr_cell_slowdown_add_run(&model, &slow, ESTIMATE_MS, ESTIMATE_MS, 1000);
	zr_cell_slowdown_add_run(&model, &slow, ESTIMATE_MS, 6 * ESTIMATE_MS,
				 3000);
	zr_cell_slowdown_add_run(&model, &slow, ESTIMATE_MS, 6 * ESTIMATE_MS,
				 3100);
	ck_assert(zr_cell_slowdown_is_slow(&model, &slow, 3100));
	ck_assert(!zr_cell_slowdown_is_slow(&model, &normal, 3100));
	/* Later it counts as normal again, so that it gets runs. */
	ck_assert(!zr_cell_slowdown_is_slow(&model, &slow, 9000));
}
END_TEST

/*
 * A worker is also found by an active run that has made only 10 percent of its
 * progress when the estimated time of the run has passed.
 */
START_TEST(test_slow_worker_is_found_by_progress)
{
	zr_cell_slowdown_add_progress(&model, &slow, ESTIMATE_MS,
				      ESTIMATE_MS / 2, 1, 3000);
	ck_assert(!zr_cell_slowdown_is_slow(&model, &slow, 3000));
	zr_cell_slowdown_add_progress(&model, &slow, ESTIMATE_MS, ESTIMATE_MS,
				      10, 3300);
	ck_assert(zr_cell_slowdown_is_slow(&model, &slow, 3300));
}
END_TEST

START_TEST(test_run_without_progress_is_stalled)
{
	struct zr_cell_task task = {.percent = 40, .percent_at = 1000};

	ck_assert(!zr_cell_slowdown_is_stalled(&task, 2400));
	ck_assert(zr_cell_slowdown_is_stalled(&task, 2500));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_slowdown");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, NULL);
	tcase_add_test(tcase, test_slow_worker_is_found_by_its_runs);
	tcase_add_test(tcase, test_slow_worker_is_found_by_progress);
	tcase_add_test(tcase, test_run_without_progress_is_stalled);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

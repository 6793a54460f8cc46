#include <check.h>
#include <stdlib.h>

#include "cell/plan.h"

#define ESTIMATE_MS INT64_C(600)

static struct zr_cell_model model;
static struct zr_cell_worker sound;
static struct zr_cell_worker slow;

static void set_up(void)
{
	int64_t t;

	model = (struct zr_cell_model){0};
	sound = (struct zr_cell_worker){0};
	slow = (struct zr_cell_worker){0};
	for (t = 0; t < 3000; t += 50)
		zr_cell_pace_sample(&model, &sound, ESTIMATE_MS,
				    ESTIMATE_MS + t % 200, t);
}

/* One worker turns six times as slow: two runs tell. */
START_TEST(test_slow_worker)
{
	zr_cell_pace_sample(&model, &slow, ESTIMATE_MS, ESTIMATE_MS, 1000);
	zr_cell_pace_sample(&model, &slow, ESTIMATE_MS, 6 * ESTIMATE_MS, 3000);
	zr_cell_pace_sample(&model, &slow, ESTIMATE_MS, 6 * ESTIMATE_MS, 3100);
	ck_assert(zr_cell_pace_slow(&model, &slow, 3100));
	ck_assert(!zr_cell_pace_slow(&model, &sound, 3100));
	/* It is tried again after a while. */
	ck_assert(!zr_cell_pace_slow(&model, &slow, 9000));
}
END_TEST

/* An open run that has come a tenth of its way in its whole time tells too. */
START_TEST(test_slow_progress)
{
	zr_cell_pace_progress(&model, &slow, ESTIMATE_MS, ESTIMATE_MS / 2, 1,
			      3000);
	ck_assert(!zr_cell_pace_slow(&model, &slow, 3000));
	zr_cell_pace_progress(&model, &slow, ESTIMATE_MS, ESTIMATE_MS, 10,
			      3300);
	ck_assert(zr_cell_pace_slow(&model, &slow, 3300));
}
END_TEST

START_TEST(test_stalled_run)
{
	struct zr_cell_task task = {.percent = 40, .percent_at = 1000};

	ck_assert(!zr_cell_pace_stalled(&task, 2400));
	ck_assert(zr_cell_pace_stalled(&task, 2500));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_pace");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, NULL);
	tcase_add_test(tcase, test_slow_worker);
	tcase_add_test(tcase, test_slow_progress);
	tcase_add_test(tcase, test_stalled_run);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

#include <check.h>
#include <stdlib.h>

#include "cell/plan.h"
#include "fakes/rng.h"

#define WORKERS 50

static struct zr_cell_model model;
static struct zr_cell_worker workers[WORKERS];
static struct rng rng;

static void set_up(void)
{
	int i;

	model = (struct zr_cell_model){0};
	rng = (struct rng){1};
	for (i = 0; i < WORKERS; i++)
		workers[i] = (struct zr_cell_worker){0};
}

/* Sends starts to all workers in turn; @percent of them have no answer. */
static void send_starts(int first, int last, int rounds, uint32_t percent)
{
	int round;
	int i;

	for (round = 0; round < rounds; round++) {
		for (i = first; i < last; i++)
			zr_cell_unanswered_add_start(
				&model, &workers[i],
				!rng_chance(&rng, percent));
	}
}

static int count_worse(int first, int last)
{
	int count = 0;
	int i;

	for (i = first; i < last; i++)
		count += zr_cell_unanswered_is_worse(&model, &workers[i]);
	return count;
}

/* Late orders: one start in ten has no answer, on whichever worker it is. */
START_TEST(test_all_workers_are_alike)
{
	send_starts(0, WORKERS, 100, 10);
	ck_assert_int_lt(count_worse(0, WORKERS), WORKERS / 5);
}
END_TEST

/* In a healthy cell, the first start without an answer tells. */
START_TEST(test_one_start_in_a_healthy_cell)
{
	send_starts(0, WORKERS, 100, 0);
	zr_cell_unanswered_add_start(&model, &workers[0], false);
	ck_assert(zr_cell_unanswered_is_worse(&model, &workers[0]));
}
END_TEST

/* Some workers leave four starts in ten without an answer, others none. */
START_TEST(test_some_workers_are_worse)
{
	int round;

	for (round = 0; round < 100; round++) {
		send_starts(0, 7, 1, 40);
		send_starts(7, WORKERS, 1, 0);
	}
	ck_assert_int_ge(count_worse(0, 7), 6);
	ck_assert_int_eq(count_worse(7, WORKERS), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_unanswered");
	TCase *tcase = tcase_create("cell_unanswered");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, NULL);
	tcase_add_test(tcase, test_all_workers_are_alike);
	tcase_add_test(tcase, test_one_start_in_a_healthy_cell);
	tcase_add_test(tcase, test_some_workers_are_worse);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

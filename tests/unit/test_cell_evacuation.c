#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "cell/policy/evacuation.h"

/* A run in the middle of a job that has time left, and may be moved. */
static const struct zr_evacuation_group movable = {
	.step = 1,
	.tasks = 1,
	.need = {1000, 100, 0},
	.starts = 1,
	.running = true,
	.checkpoints = true,
	.remaining_ms = 2500,
	.objective_ms = 60000,
};

#define GROUPS_MAX 8

static struct zr_evacuation_decision decisions[GROUPS_MAX];

/* Decides with one worker elsewhere that has this many processors free. */
static void decide(const struct zr_evacuation_group *groups, size_t count,
		   uint32_t cpus, uint64_t waiting_millicpus,
		   uint32_t tasks_max)
{
	struct zr_evacuation_worker worker = {{cpus * 1000, 100000, 0}, 1};
	const struct zr_evacuation_view view = {
		groups, count, &worker, 1, waiting_millicpus, tasks_max};

	ck_assert_int_eq(zr_evacuation_decide(decisions, &view), 0);
}

static void check(size_t index, enum zr_evacuation_verdict verdict,
		  enum zr_evacuation_reason reason)
{
	ck_assert_str_eq(zr_evacuation_verdict_name(decisions[index].verdict),
			 zr_evacuation_verdict_name(verdict));
	ck_assert_str_eq(zr_evacuation_reason_name(decisions[index].reason),
			 zr_evacuation_reason_name(reason));
}

static void check_one(struct zr_evacuation_group group,
		      enum zr_evacuation_verdict verdict,
		      enum zr_evacuation_reason reason)
{
	decide(&group, 1, 100, 0, 10);
	check(0, verdict, reason);
}

/* Guards against moves that discard work, or cost more than they bring. */
START_TEST(test_runs_that_finish)
{
	struct zr_evacuation_group group = movable;

	check_one(group, ZR_EVACUATION_MOVE, ZR_EVACUATION_RESUMES);
	group.checkpoints = false;
	check_one(group, ZR_EVACUATION_FINISH, ZR_EVACUATION_NO_CHECKPOINTS);
	group = movable;
	group.remaining_ms = 1000;
	check_one(group, ZR_EVACUATION_FINISH, ZR_EVACUATION_ENDS_SOON);
	group = movable;
	group.starts = 3;
	check_one(group, ZR_EVACUATION_FINISH, ZR_EVACUATION_MOVED_OFTEN);
	group = movable;
	group.running = false;
	check_one(group, ZR_EVACUATION_WAIT, ZR_EVACUATION_NOT_RUNNING);
}
END_TEST

/* Guards against a job that is late, or worth nothing, because of a move. */
START_TEST(test_value_is_kept)
{
	struct zr_evacuation_group group = movable;

	/* It ends 100 ms before its objective. */
	group.age_ms = group.objective_ms - group.remaining_ms - 100;
	check_one(group, ZR_EVACUATION_FINISH, ZR_EVACUATION_LOSES_VALUE);
	/* It is late in any case. */
	group.age_ms += 200;
	check_one(group, ZR_EVACUATION_MOVE, ZR_EVACUATION_RESUMES);
	/* A later step makes it late, but not too late. */
	group.age_ms = 0;
	group.later_ms = group.objective_ms;
	check_one(group, ZR_EVACUATION_MOVE, ZR_EVACUATION_RESUMES);
	group.age_ms = 2 * group.objective_ms - group.remaining_ms - 100;
	check_one(group, ZR_EVACUATION_FINISH, ZR_EVACUATION_LOSES_VALUE);
}
END_TEST

/* Guards against runs that are stopped and then find no place. */
START_TEST(test_capacity_elsewhere)
{
	struct zr_evacuation_group groups[] = {movable, movable, movable};

	groups[0].tasks = 20;
	groups[2].remaining_ms = 2400;
	decide(groups, 3, 1, 0, 100);
	check(0, ZR_EVACUATION_WAIT, ZR_EVACUATION_NO_CAPACITY);
	check(1, ZR_EVACUATION_MOVE, ZR_EVACUATION_RESUMES);
	check(2, ZR_EVACUATION_WAIT, ZR_EVACUATION_NO_CAPACITY);
	/* Ready tasks wait for all of it. */
	decide(groups, 3, 30, 30000, 100);
	check(1, ZR_EVACUATION_WAIT, ZR_EVACUATION_NO_CAPACITY);
	/* The adviser would permit too few workers. */
	groups[1].advised = true;
	decide(&groups[1], 1, 3, 0, 100);
	check(0, ZR_EVACUATION_WAIT, ZR_EVACUATION_NO_CAPACITY);
	groups[1].advised = false;
	groups[1].class = 1;
	decide(&groups[1], 1, 3, 0, 100);
	check(0, ZR_EVACUATION_WAIT, ZR_EVACUATION_NO_CAPACITY);
}
END_TEST

/* Guards against a burst of moves that delays the starts of other tasks. */
START_TEST(test_moves_are_spread)
{
	struct zr_evacuation_group groups[] = {movable, movable, movable};

	groups[1].remaining_ms = 4000;
	groups[2].tasks = 20;
	decide(groups, 3, 100, 0, 1);
	check(0, ZR_EVACUATION_WAIT, ZR_EVACUATION_TURN);
	check(1, ZR_EVACUATION_MOVE, ZR_EVACUATION_RESUMES);
	check(2, ZR_EVACUATION_WAIT, ZR_EVACUATION_TURN);
	/* A gang larger than the maximum moves when it is the first. */
	decide(&groups[2], 1, 100, 0, 1);
	check(0, ZR_EVACUATION_MOVE, ZR_EVACUATION_RESUMES);
}
END_TEST

/* Guards against a service with more tasks unavailable than it allows. */
START_TEST(test_unavailable_max)
{
	struct zr_evacuation_group groups[] = {movable, movable, movable};
	size_t i;

	for (i = 0; i < 3; i++) {
		groups[i].checkpoints = false;
		groups[i].long_running = true;
		groups[i].unavailable_max = 2;
		groups[i].unavailable = 1;
	}
	groups[2].step = 2;
	decide(groups, 3, 100, 1000000, 10);
	check(0, ZR_EVACUATION_MOVE, ZR_EVACUATION_RESUMES);
	check(1, ZR_EVACUATION_WAIT, ZR_EVACUATION_UNAVAILABLE_MAX);
	check(2, ZR_EVACUATION_MOVE, ZR_EVACUATION_RESUMES);
	groups[0].unavailable_max = 0;
	check_one(groups[0], ZR_EVACUATION_WAIT, ZR_EVACUATION_UNAVAILABLE_MAX);
	/* No worker is left beside those that have tasks of the step. */
	groups[1].max_per_worker = 1;
	groups[1].tasks_elsewhere = 1;
	check_one(groups[1], ZR_EVACUATION_WAIT, ZR_EVACUATION_NO_CAPACITY);
}
END_TEST

/* Guards against capacity that returns all at once, or only in part. */
START_TEST(test_workers_return_gradually)
{
	unsigned int quarters[4] = {0};
	char name[16];
	unsigned int i;

	for (i = 0; i < 400; i++) {
		int64_t at;

		snprintf(name, sizeof(name), "i-%u", i);
		at = zr_evacuation_return_ms(name, 2000);
		ck_assert_int_ge(at, 0);
		ck_assert_int_lt(at, 2000);
		ck_assert_int_eq(at, zr_evacuation_return_ms(name, 2000));
		quarters[at / 500]++;
	}
	for (i = 0; i < 4; i++)
		ck_assert_uint_ge(quarters[i], 70);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_evacuation");
	TCase *tcase = tcase_create("cell_evacuation");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_runs_that_finish);
	tcase_add_test(tcase, test_value_is_kept);
	tcase_add_test(tcase, test_capacity_elsewhere);
	tcase_add_test(tcase, test_moves_are_spread);
	tcase_add_test(tcase, test_unavailable_max);
	tcase_add_test(tcase, test_workers_return_gradually);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

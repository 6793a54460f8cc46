#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"

#define SECOND INT64_C(1000)

static struct zr_cell_step step = {.estimate_ms = 1000};

static struct zr_cell_job job_of(uint32_t priority, int64_t accepted_at)
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

START_TEST(test_objective)
{
	struct zr_cell_job job = job_of(0, 0);

	ck_assert_int_eq(zr_cell_order_objective_ms(&job), 2500);
}
END_TEST

/* A burst leaves a backlog: what can still be on time goes before what can't.
 */
START_TEST(test_backlog_after_a_burst)
{
	struct zr_cell_job fresh = job_of(2, 100 * SECOND - 1000);
	struct zr_cell_job late = job_of(0, 100 * SECOND - 4000);
	struct zr_cell_job lost = job_of(0, 100 * SECOND - 9000);
	int64_t now = 100 * SECOND;

	ck_assert(zr_cell_order_rank(&fresh, now) <
		  zr_cell_order_rank(&late, now));
	ck_assert(zr_cell_order_rank(&late, now) <
		  zr_cell_order_rank(&lost, now));
}
END_TEST

/*
 * On a full cell jobs wait long: one that can no longer end in time makes way
 * for a younger one that can, unless it has begun.
 */
START_TEST(test_too_late_to_begin)
{
	struct zr_cell_step_row waiting = {.spec = &step, .waiting = 1};
	struct zr_cell_step_row begun = {.spec = &step, .open = 1};
	struct zr_cell_job older = job_of(1, 100 * SECOND - 2000);
	struct zr_cell_job younger = job_of(1, 100 * SECOND - 1000);
	int64_t now = 100 * SECOND;

	step.count = 1;
	older.step_count = 1;
	younger.step_count = 1;
	younger.steps = &waiting;
	older.steps = &waiting;
	ck_assert(zr_cell_order_rank(&younger, now) <
		  zr_cell_order_rank(&older, now));
	older.steps = &begun;
	ck_assert(zr_cell_order_rank(&older, now) <
		  zr_cell_order_rank(&younger, now));
}
END_TEST

START_TEST(test_urgent_queue_first)
{
	struct zr_cell_job urgent = job_of(0, 100 * SECOND);
	struct zr_cell_job older = job_of(1, 100 * SECOND - 2000);

	ck_assert(zr_cell_order_rank(&urgent, 100 * SECOND) <
		  zr_cell_order_rank(&older, 100 * SECOND));
}
END_TEST

/* One client account sends ten times its weight; another keeps to its own. */
START_TEST(test_hot_client)
{
	struct zr_cell_client_row hot = {.weight = 10};
	struct zr_cell_client_row calm = {.weight = 10};
	int within_hot = 0;
	int within_calm = 0;
	int64_t t;

	for (t = 0; t < 20 * SECOND; t += 10)
		within_hot += zr_cell_order_charge(&hot, 1000 * SECOND + t);
	for (t = 0; t < 20 * SECOND; t += 110)
		within_calm += zr_cell_order_charge(&calm, 1000 * SECOND + t);
	/* Its weight for 20 s, and what it may send at once. */
	ck_assert_int_ge(within_hot, 200);
	ck_assert_int_le(within_hot, 222);
	ck_assert_int_eq(within_calm, 20 * SECOND / 110 + 1);
}
END_TEST

START_TEST(test_excess_waits_behind)
{
	struct zr_cell_job excess = job_of(0, 100 * SECOND - 100);
	struct zr_cell_job late = job_of(2, 100 * SECOND - 4000);

	excess.excess = true;
	ck_assert(zr_cell_order_rank(&late, 100 * SECOND) <
		  zr_cell_order_rank(&excess, 100 * SECOND));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_order");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_objective);
	tcase_add_test(tcase, test_backlog_after_a_burst);
	tcase_add_test(tcase, test_too_late_to_begin);
	tcase_add_test(tcase, test_urgent_queue_first);
	tcase_add_test(tcase, test_hot_client);
	tcase_add_test(tcase, test_excess_waits_behind);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

#include <check.h>
#include <string.h>

#include "fakes/fake_time.h"
#include "fakes/sched_model.h"

/*
 * Tests the checker in fakes/sched_model.h itself. Each test passes it events
 * and decisions that violate one rule, and it must report just that violation.
 * A checker that misses violations would let the tests of the scheduler core
 * pass with faults.
 */

static struct fake_time *fake;
static struct sched_model *model;
static struct zr_sched_sink sink;

/* Resources that start decisions reserve; enough for each task. */
static struct zr_resources reserved;

/* Handles in place of those that the core would return. */
#define WORKER_A 1
#define WORKER_B 2
#define JOB 7

static void set_up(void)
{
	static const struct zr_sched_sink none;
	const struct zr_sched_worker a = {"a", "r1", {4000, 4096, 1}};
	const struct zr_sched_worker b = {"b", "r2", {4000, 4096, 1}};

	reserved = (struct zr_resources){4000, 4096, 1};
	fake = fake_time_new();
	model = sched_model_new(fake_time_clock(fake), &none);
	sink = sched_model_sink(model);
	sched_model_worker_add(model, WORKER_A, &a);
	sched_model_worker_add(model, WORKER_B, &b);
}

static void tear_down(void)
{
	sched_model_free(model);
	fake_time_free(fake);
}

static struct zr_job_spec make_spec(enum zr_job_kind kind, uint32_t tasks,
				    uint32_t millicpus)
{
	struct zr_job_spec spec = {
		.name = "print",
		.team = "kitakaze",
		.queue = "booths",
		.kind = kind,
		.tasks = tasks,
		.size = {millicpus, 100, 0},
	};

	return spec;
}

static void add_job(const char *id, enum zr_job_kind kind, uint32_t tasks,
		    uint32_t millicpus)
{
	const struct zr_job_spec spec = make_spec(kind, tasks, millicpus);

	sched_model_job_add(model, id, &spec);
}

static void start_task(const char *id, uint32_t index, uint32_t attempt,
		       zr_handle worker)
{
	const struct zr_job_spec spec = make_spec(ZR_JOB_BATCH, 1, 1000);
	const struct zr_sched_task task = {JOB,	    id,	    index,
					   attempt, worker, reserved};

	sink.start(sink.ctx, &task, &spec, "test");
}

static void stop_task(const char *id, uint32_t index, uint32_t attempt,
		      zr_handle worker)
{
	const struct zr_sched_task task = {JOB,	    id,	    index,
					   attempt, worker, reserved};

	sink.stop(sink.ctx, &task, ZR_SCHED_STOP_PREEMPTED);
}

static void change_state(const char *id, enum zr_job_state state)
{
	sink.job_changed(sink.ctx, JOB, id, state, "test");
}

/* Checks that there was exactly one violation, and of this rule. */
static void expect_violation(enum sched_model_rule rule)
{
	ck_assert_msg(sched_model_rule_violations(model, rule) == 1,
		      "rule %s was not violated once; first: %s",
		      sched_model_rule_name(rule),
		      sched_model_first_violation(model));
	ck_assert_msg(sched_model_total_violations(model) == 1,
		      "other violations: %s",
		      sched_model_first_violation(model));
}

static void expect_no_violation(void)
{
	ck_assert_msg(!sched_model_total_violations(model), "violation: %s",
		      sched_model_first_violation(model));
}

START_TEST(test_valid_decisions_pass)
{
	add_job("j", ZR_JOB_BATCH, 2, 1000);
	start_task("j", 0, 1, WORKER_A);
	start_task("j", 1, 1, WORKER_B);
	change_state("j", ZR_JOB_RUNNING);
	sched_model_check_decisions(model);
	sched_model_task_ended(model, "j", 0, 1, ZR_SCHED_FAILED);
	start_task("j", 0, 2, WORKER_A);
	stop_task("j", 0, 2, WORKER_A);
	sched_model_task_ended(model, "j", 0, 2, ZR_SCHED_STOPPED);
	start_task("j", 0, 3, WORKER_B);
	sched_model_task_ended(model, "j", 0, 3, ZR_SCHED_SUCCEEDED);
	sched_model_task_ended(model, "j", 1, 1, ZR_SCHED_SUCCEEDED);
	change_state("j", ZR_JOB_SUCCEEDED);
	sched_model_check_decisions(model);
	sched_model_check_drained(model);
	sched_model_job_remove(model, "j");
	expect_no_violation();
}
END_TEST

START_TEST(test_declared_sizes_exceed_capacity)
{
	add_job("j", ZR_JOB_BATCH, 2, 2500);
	start_task("j", 0, 1, WORKER_A);
	expect_no_violation();
	start_task("j", 1, 1, WORKER_A);
	expect_violation(SCHED_MODEL_CAPACITY);
}
END_TEST

START_TEST(test_reported_sizes_exceed_capacity)
{
	const struct zr_resources used = {3500, 100, 0};

	add_job("j", ZR_JOB_BATCH, 1, 1000);
	add_job("k", ZR_JOB_BATCH, 1, 1000);
	start_task("j", 0, 1, WORKER_A);
	sched_model_task_usage(model, "j", 0, 1, &used);
	start_task("k", 0, 1, WORKER_A);
	expect_violation(SCHED_MODEL_CAPACITY);
}
END_TEST

START_TEST(test_a_smaller_report_does_not_lower_the_charge)
{
	const struct zr_resources high = {3500, 100, 0};
	const struct zr_resources low = {100, 100, 0};

	add_job("j", ZR_JOB_BATCH, 1, 1000);
	add_job("k", ZR_JOB_BATCH, 1, 1000);
	start_task("j", 0, 1, WORKER_A);
	sched_model_task_usage(model, "j", 0, 1, &high);
	sched_model_task_usage(model, "j", 0, 1, &low);
	ck_assert_int_eq(sched_model_total_violations(model), 0);
	start_task("k", 0, 1, WORKER_A);
	/* The smallest usage of the name is 100, so k is charged with that. */
	expect_no_violation();
	add_job("l", ZR_JOB_BATCH, 5, 1000);
	start_task("l", 0, 1, WORKER_A);
	start_task("l", 1, 1, WORKER_A);
	start_task("l", 2, 1, WORKER_A);
	start_task("l", 3, 1, WORKER_A);
	expect_no_violation();
	start_task("l", 4, 1, WORKER_A);
	expect_violation(SCHED_MODEL_CAPACITY);
}
END_TEST

START_TEST(test_known_sizes_exceed_capacity)
{
	const struct zr_resources used = {3000, 100, 0};
	uint32_t i;

	add_job("j", ZR_JOB_BATCH, SCHED_MODEL_KNOWN_TASKS + 2, 1000);
	for (i = 0; i < SCHED_MODEL_KNOWN_TASKS; i++) {
		start_task("j", i, 1, WORKER_A);
		sched_model_task_usage(model, "j", i, 1, &used);
		sched_model_task_ended(model, "j", i, 1, ZR_SCHED_SUCCEEDED);
	}
	start_task("j", i, 1, WORKER_A);
	expect_no_violation();
	start_task("j", i + 1, 1, WORKER_A);
	expect_violation(SCHED_MODEL_CAPACITY);
}
END_TEST

START_TEST(test_a_start_reserves_too_little)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	reserved.millicpus = 999;
	start_task("j", 0, 1, WORKER_A);
	expect_violation(SCHED_MODEL_CAPACITY);
}
END_TEST

START_TEST(test_a_stopping_task_stays_charged)
{
	add_job("j", ZR_JOB_BATCH, 2, 2500);
	start_task("j", 0, 1, WORKER_A);
	stop_task("j", 0, 1, WORKER_A);
	start_task("j", 1, 1, WORKER_A);
	expect_violation(SCHED_MODEL_CAPACITY);
}
END_TEST

START_TEST(test_a_team_exceeds_its_allotment)
{
	const struct zr_resources allotment = {2500, 0, 0};

	sched_model_set_allotment(model, "kitakaze", &allotment);
	add_job("j", ZR_JOB_BATCH, 3, 1000);
	start_task("j", 0, 1, WORKER_A);
	start_task("j", 1, 1, WORKER_B);
	expect_no_violation();
	start_task("j", 2, 1, WORKER_B);
	expect_violation(SCHED_MODEL_LIMIT);
}
END_TEST

START_TEST(test_a_team_stays_above_a_lowered_allotment)
{
	const struct zr_resources allotment = {1500, 0, 0};

	add_job("j", ZR_JOB_BATCH, 2, 1000);
	start_task("j", 0, 1, WORKER_A);
	start_task("j", 1, 1, WORKER_B);
	sched_model_set_allotment(model, "kitakaze", &allotment);
	sched_model_check_decisions(model);
	fake_time_advance(fake, SCHED_MODEL_LOWERED_MS);
	sched_model_check_decisions(model);
	expect_no_violation();
	fake_time_advance(fake, 1);
	sched_model_check_decisions(model);
	expect_violation(SCHED_MODEL_LIMIT);
}
END_TEST

START_TEST(test_a_task_runs_on_two_workers)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	start_task("j", 0, 1, WORKER_A);
	start_task("j", 0, 2, WORKER_B);
	expect_violation(SCHED_MODEL_ONE_PLACE);
}
END_TEST

START_TEST(test_a_stopping_task_is_started_elsewhere)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	start_task("j", 0, 1, WORKER_A);
	stop_task("j", 0, 1, WORKER_A);
	start_task("j", 0, 2, WORKER_B);
	expect_violation(SCHED_MODEL_ONE_PLACE);
}
END_TEST

START_TEST(test_an_ended_task_is_started_again)
{
	add_job("j", ZR_JOB_BATCH, 2, 1000);
	start_task("j", 0, 1, WORKER_A);
	sched_model_task_ended(model, "j", 0, 1, ZR_SCHED_SUCCEEDED);
	start_task("j", 0, 2, WORKER_A);
	expect_violation(SCHED_MODEL_ONE_PLACE);
}
END_TEST

START_TEST(test_an_attempt_number_is_reused)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	start_task("j", 0, 1, WORKER_A);
	sched_model_task_ended(model, "j", 0, 1, ZR_SCHED_FAILED);
	start_task("j", 0, 1, WORKER_A);
	expect_violation(SCHED_MODEL_ONE_PLACE);
}
END_TEST

START_TEST(test_part_of_a_gang_starts)
{
	add_job("g", ZR_JOB_GANG, 2, 1000);
	start_task("g", 0, 1, WORKER_A);
	sched_model_check_decisions(model);
	expect_violation(SCHED_MODEL_GANG);
}
END_TEST

START_TEST(test_a_gang_runs_without_a_lost_member)
{
	add_job("g", ZR_JOB_GANG, 2, 1000);
	start_task("g", 0, 1, WORKER_A);
	start_task("g", 1, 1, WORKER_B);
	sched_model_check_decisions(model);
	expect_no_violation();
	sched_model_worker_remove(model, WORKER_B);
	sched_model_check_decisions(model);
	expect_violation(SCHED_MODEL_GANG);
}
END_TEST

START_TEST(test_a_gang_starts_while_members_stop)
{
	add_job("g", ZR_JOB_GANG, 2, 1000);
	start_task("g", 0, 1, WORKER_A);
	start_task("g", 1, 1, WORKER_B);
	sched_model_task_ended(model, "g", 1, 1, ZR_SCHED_FAILED);
	stop_task("g", 0, 1, WORKER_A);
	sched_model_check_decisions(model);
	expect_no_violation();
	start_task("g", 1, 2, WORKER_B);
	expect_violation(SCHED_MODEL_GANG);
}
END_TEST

START_TEST(test_an_at_most_once_task_starts_again)
{
	struct zr_job_spec spec = make_spec(ZR_JOB_BATCH, 2, 1000);

	spec.at_most_once = true;
	sched_model_job_add(model, "j", &spec);
	start_task("j", 0, 1, WORKER_A);
	start_task("j", 1, 1, WORKER_A);
	sched_model_task_ended(model, "j", 0, 1, ZR_SCHED_NOT_STARTED);
	start_task("j", 0, 2, WORKER_B);
	expect_no_violation();
	sched_model_task_ended(model, "j", 1, 1, ZR_SCHED_LOST);
	start_task("j", 1, 2, WORKER_B);
	expect_violation(SCHED_MODEL_AT_MOST_ONCE);
}
END_TEST

START_TEST(test_a_replayed_at_most_once_task_starts_again)
{
	struct zr_job_spec spec = make_spec(ZR_JOB_BATCH, 1, 1000);

	spec.at_most_once = true;
	sched_model_job_add(model, "j", &spec);
	sched_model_task_replay(model, "j", 0, 1, ZR_SCHED_LOST);
	start_task("j", 0, 2, WORKER_B);
	expect_violation(SCHED_MODEL_AT_MOST_ONCE);
}
END_TEST

START_TEST(test_a_job_succeeds_before_all_tasks)
{
	add_job("j", ZR_JOB_BATCH, 2, 1000);
	start_task("j", 0, 1, WORKER_A);
	sched_model_task_ended(model, "j", 0, 1, ZR_SCHED_SUCCEEDED);
	change_state("j", ZR_JOB_SUCCEEDED);
	expect_violation(SCHED_MODEL_LOST);
}
END_TEST

START_TEST(test_a_job_fails_without_a_failure)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	change_state("j", ZR_JOB_FAILED);
	expect_violation(SCHED_MODEL_LOST);
}
END_TEST

static void fail_gang_run(const char *id, uint32_t attempt)
{
	uint32_t i;

	for (i = 0; i < 3; i++)
		start_task(id, i, attempt, i ? WORKER_A : WORKER_B);
	for (i = 0; i < 3; i++)
		sched_model_task_ended(model, id, i, attempt, ZR_SCHED_FAILED);
}

/* A run of a gang counts once, however many of its members fail. */
START_TEST(test_a_gang_fails_after_one_run)
{
	add_job("j", ZR_JOB_GANG, 3, 1000);
	fail_gang_run("j", 1);
	change_state("j", ZR_JOB_FAILED);
	expect_violation(SCHED_MODEL_LOST);
}
END_TEST

START_TEST(test_a_gang_fails_after_three_runs)
{
	add_job("j", ZR_JOB_GANG, 3, 1000);
	fail_gang_run("j", 1);
	fail_gang_run("j", 2);
	fail_gang_run("j", 3);
	change_state("j", ZR_JOB_FAILED);
	expect_no_violation();
}
END_TEST

START_TEST(test_a_job_is_cancelled_while_it_runs)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	start_task("j", 0, 1, WORKER_A);
	sched_model_job_cancel(model, "j");
	change_state("j", ZR_JOB_CANCELLED);
	expect_violation(SCHED_MODEL_LOST);
}
END_TEST

START_TEST(test_a_job_does_not_end_after_its_tasks)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	start_task("j", 0, 1, WORKER_A);
	sched_model_task_ended(model, "j", 0, 1, ZR_SCHED_SUCCEEDED);
	sched_model_check_decisions(model);
	expect_violation(SCHED_MODEL_LOST);
}
END_TEST

START_TEST(test_a_job_is_left_waiting)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	sched_model_check_drained(model);
	expect_violation(SCHED_MODEL_LOST);
}
END_TEST

START_TEST(test_a_job_ends_twice)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	sched_model_job_cancel(model, "j");
	change_state("j", ZR_JOB_CANCELLED);
	expect_no_violation();
	change_state("j", ZR_JOB_CANCELLED);
	expect_violation(SCHED_MODEL_ENDED);
}
END_TEST

START_TEST(test_a_start_on_a_worker_that_is_not_up)
{
	const enum zr_sched_worker_state states[] = {
		ZR_SCHED_WORKER_LEAVING, ZR_SCHED_WORKER_UNRESPONSIVE};

	sched_model_worker_set_state(model, WORKER_A, states[_i]);
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	start_task("j", 0, 1, WORKER_A);
	expect_violation(SCHED_MODEL_WORKER);
}
END_TEST

START_TEST(test_a_start_on_a_removed_worker)
{
	sched_model_worker_remove(model, WORKER_A);
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	start_task("j", 0, 1, WORKER_A);
	expect_violation(SCHED_MODEL_WORKER);
}
END_TEST

START_TEST(test_a_start_of_a_cancelled_job)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	sched_model_job_cancel(model, "j");
	start_task("j", 0, 1, WORKER_A);
	expect_violation(SCHED_MODEL_ENDED);
}
END_TEST

START_TEST(test_a_start_of_a_held_job)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	sched_model_job_hold(model, "j", true);
	start_task("j", 0, 1, WORKER_A);
	expect_violation(SCHED_MODEL_ENDED);
}
END_TEST

START_TEST(test_a_start_of_an_unknown_job)
{
	start_task("unknown", 0, 1, WORKER_A);
	expect_violation(SCHED_MODEL_ENDED);
}
END_TEST

START_TEST(test_a_stop_of_a_task_that_does_not_run)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	stop_task("j", 0, 1, WORKER_A);
	expect_violation(SCHED_MODEL_ENDED);
}
END_TEST

START_TEST(test_a_decision_without_a_reason)
{
	add_job("j", ZR_JOB_BATCH, 1, 1000);
	sink.job_changed(sink.ctx, JOB, "j", ZR_JOB_PARKED, "");
	expect_violation(SCHED_MODEL_REASON);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_test(tcase, test_valid_decisions_pass);
	tcase_add_test(tcase, test_declared_sizes_exceed_capacity);
	tcase_add_test(tcase, test_reported_sizes_exceed_capacity);
	tcase_add_test(tcase, test_a_smaller_report_does_not_lower_the_charge);
	tcase_add_test(tcase, test_known_sizes_exceed_capacity);
	tcase_add_test(tcase, test_a_start_reserves_too_little);
	tcase_add_test(tcase, test_a_stopping_task_stays_charged);
	tcase_add_test(tcase, test_a_team_exceeds_its_allotment);
	tcase_add_test(tcase, test_a_team_stays_above_a_lowered_allotment);
	tcase_add_test(tcase, test_a_task_runs_on_two_workers);
	tcase_add_test(tcase, test_a_stopping_task_is_started_elsewhere);
	tcase_add_test(tcase, test_an_ended_task_is_started_again);
	tcase_add_test(tcase, test_an_attempt_number_is_reused);
	tcase_add_test(tcase, test_part_of_a_gang_starts);
	tcase_add_test(tcase, test_a_gang_runs_without_a_lost_member);
	tcase_add_test(tcase, test_a_gang_starts_while_members_stop);
	tcase_add_test(tcase, test_an_at_most_once_task_starts_again);
	tcase_add_test(tcase, test_a_replayed_at_most_once_task_starts_again);
	tcase_add_test(tcase, test_a_job_succeeds_before_all_tasks);
	tcase_add_test(tcase, test_a_job_fails_without_a_failure);
	tcase_add_test(tcase, test_a_gang_fails_after_one_run);
	tcase_add_test(tcase, test_a_gang_fails_after_three_runs);
	tcase_add_test(tcase, test_a_job_is_cancelled_while_it_runs);
	tcase_add_test(tcase, test_a_job_does_not_end_after_its_tasks);
	tcase_add_test(tcase, test_a_job_is_left_waiting);
	tcase_add_test(tcase, test_a_job_ends_twice);
	tcase_add_loop_test(tcase, test_a_start_on_a_worker_that_is_not_up, 0,
			    2);
	tcase_add_test(tcase, test_a_start_on_a_removed_worker);
	tcase_add_test(tcase, test_a_start_of_a_cancelled_job);
	tcase_add_test(tcase, test_a_start_of_a_held_job);
	tcase_add_test(tcase, test_a_start_of_an_unknown_job);
	tcase_add_test(tcase, test_a_stop_of_a_task_that_does_not_run);
	tcase_add_test(tcase, test_a_decision_without_a_reason);
}

int main(void)
{
	Suite *suite = suite_create("sched_model");
	TCase *tcase = tcase_create("sched_model");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	add_tests(tcase);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

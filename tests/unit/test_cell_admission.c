#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cell/policy/admission.h"
#include "cell/policy/run_times.h"

/* The three classes of jobs of docs/design/2026-12-hard-load.md. */
enum { URGENT, GANG, BATCH, CLASSES };

#define POOL_MILLICPUS 1000000 /* 500 workers of two processors */

static struct zr_cell_step_spec steps[CLASSES];
static struct zr_cell_job_spec specs[CLASSES];
static struct zr_admission_class classes[CLASSES];
static struct zr_admission_pool pool;

static void set_class(int class, uint32_t count, uint32_t estimate_ms,
		      uint32_t flags)
{
	steps[class] = (struct zr_cell_step_spec){
		.count = count,
		.need = {.millicpus = 1000, .memory_mb = 500},
		.estimate_ms = estimate_ms,
		.flags = flags,
	};
	specs[class] = (struct zr_cell_job_spec){.steps = &steps[class],
						 .step_count = 1};
	classes[class] = (struct zr_admission_class){
		.priority = (uint32_t) class,
		.run_permille = 1000,
		.tail_permille = 1500,
	};
}

/* A full cell in which nothing waits. */
static void set_up(void)
{
	set_class(URGENT, 3, 750, 0);
	set_class(GANG, 20, 5000, ZR_STEP_GANG);
	set_class(BATCH, 25, 2500, ZR_STEP_CHECKPOINTS);
	pool = (struct zr_admission_pool){
		.capacity = {POOL_MILLICPUS, POOL_MILLICPUS},
		.used_permille = {950, 500},
		.classes = classes,
		.class_count = CLASSES,
		.age_ms = 200,
	};
}

static int64_t objective_ms(int class)
{
	static const int64_t objectives[CLASSES] = {250 + 1125, 11000 + 1000,
						    10000 + 3000};

	return objectives[class];
}

static struct zr_admission_verdict decide(int class, bool over_share,
					  uint64_t hash)
{
	const struct zr_admission_job job = {
		.spec = &specs[class],
		.priority = (uint32_t) class,
		.objective_ms = objective_ms(class),
		.over_share = over_share,
		.advised = true,
		.hash = hash,
	};
	struct zr_admission_verdict verdict;

	zr_admission_decide(&verdict, &pool, &job);
	return verdict;
}

static enum zr_admission_reason reason_of(int class, bool over_share)
{
	return decide(class, over_share, 0).reason;
}

/* Sets how long the pool's processors need for what waits. */
static void set_waiting(int class, enum zr_admission_tier tier, uint32_t ms)
{
	classes[class].waiting_ms[tier][ZR_ADMISSION_MILLICPUS] = ms;
}

/*
 * Load: a flood by two client accounts. Accounts within their share do not see
 * the surplus; of the surplus, what can still be on time is accepted.
 */
START_TEST(test_flood_by_two_accounts)
{
	int class;

	set_waiting(URGENT, ZR_ADMISSION_OVER_SHARE, 900);
	set_waiting(GANG, ZR_ADMISSION_OVER_SHARE, 20000);
	set_waiting(BATCH, ZR_ADMISSION_OVER_SHARE, 60000);
	for (class = URGENT; class < CLASSES; class ++) {
		ck_assert_int_eq(reason_of(class, false),
				 ZR_ADMISSION_ACCEPTED);
		ck_assert_int_eq(reason_of(class, true),
				 ZR_ADMISSION_REJECTED_OVER_SHARE);
	}
	set_waiting(URGENT, ZR_ADMISSION_OVER_SHARE, 300);
	ck_assert_int_eq(reason_of(URGENT, true), ZR_ADMISSION_ACCEPTED);
	ck_assert_int_eq(reason_of(GANG, true),
			 ZR_ADMISSION_REJECTED_OVER_SHARE);
}
END_TEST

/*
 * Load: the shares alone fill the cell. The only job above its share competes
 * with no other, so it may be late, but not without value.
 */
START_TEST(test_job_above_its_share_behind_the_shares)
{
	set_waiting(BATCH, ZR_ADMISSION_ON_TIME, 2000);
	ck_assert_int_eq(reason_of(URGENT, true), ZR_ADMISSION_ACCEPTED);
	set_waiting(BATCH, ZR_ADMISSION_ON_TIME, 3500);
	ck_assert_int_eq(reason_of(URGENT, true),
			 ZR_ADMISSION_REJECTED_OVER_SHARE);
}
END_TEST

/*
 * Load: a burst of the urgent class. Batches that wait behind it do not count;
 * late jobs of its own class do, once the new job would be late as well.
 */
START_TEST(test_burst_of_the_urgent_class)
{
	struct zr_admission_verdict verdict;

	set_waiting(GANG, ZR_ADMISSION_ON_TIME, 30000);
	set_waiting(BATCH, ZR_ADMISSION_ON_TIME, 90000);
	set_waiting(URGENT, ZR_ADMISSION_LATE, 30000);
	set_waiting(URGENT, ZR_ADMISSION_ON_TIME, 600);
	ck_assert_int_eq(reason_of(URGENT, false), ZR_ADMISSION_ACCEPTED);
	set_waiting(URGENT, ZR_ADMISSION_LATE, 2000);
	set_waiting(URGENT, ZR_ADMISSION_ON_TIME, 1500);
	ck_assert_int_eq(reason_of(URGENT, false), ZR_ADMISSION_ACCEPTED);
	set_waiting(URGENT, ZR_ADMISSION_ON_TIME, 5000);
	verdict = decide(URGENT, false, 0);
	ck_assert_int_eq(verdict.reason, ZR_ADMISSION_REJECTED_OVERLOAD);
	ck_assert_int_eq(verdict.limit_ms, 3 * objective_ms(URGENT));
	ck_assert_int_gt(verdict.finish_ms, verdict.limit_ms);
}
END_TEST

/*
 * Load: a wide gang into a full cell. It needs the processors of the workers
 * that the adviser permits several times over.
 */
START_TEST(test_wide_gang_into_a_full_cell)
{
	set_waiting(GANG, ZR_ADMISSION_ON_TIME, 3000);
	ck_assert_int_eq(reason_of(GANG, true), ZR_ADMISSION_ACCEPTED);
	steps[GANG].count = 2000;
	ck_assert_int_eq(reason_of(GANG, false), ZR_ADMISSION_ACCEPTED);
	ck_assert_int_eq(reason_of(GANG, true),
			 ZR_ADMISSION_REJECTED_OVER_SHARE);
	/* Of a cell that is not full it gets what it needs, or waits. */
	pool.used_permille[ZR_ADMISSION_MILLICPUS] = 400;
	ck_assert_int_eq(reason_of(GANG, true), ZR_ADMISSION_ACCEPTED);
}
END_TEST

/*
 * Load: as in a flood, but not known: the summary is outdated, from another
 * pool's point of view, or of an owner that has seen too few runs.
 */
START_TEST(test_unknown_load_rejects_nothing)
{
	set_waiting(URGENT, ZR_ADMISSION_ON_TIME, 60000);
	ck_assert_int_ne(reason_of(URGENT, false), ZR_ADMISSION_ACCEPTED);
	pool.age_ms = ZR_ADMISSION_AGE_MAX_MS + 1;
	ck_assert_int_eq(reason_of(URGENT, false), ZR_ADMISSION_ACCEPTED);
	ck_assert_int_eq(reason_of(URGENT, true), ZR_ADMISSION_ACCEPTED);
	pool.age_ms = 200;
	classes[URGENT].run_permille = 0;
	ck_assert_int_eq(reason_of(URGENT, true), ZR_ADMISSION_ACCEPTED);
	classes[URGENT].run_permille = 1000;
	pool.class_count = 0;
	ck_assert_int_eq(reason_of(URGENT, true), ZR_ADMISSION_ACCEPTED);
}
END_TEST

/* Jobs whose run time or workers the estimate does not know. */
START_TEST(test_unpredictable_jobs_are_accepted)
{
	set_waiting(BATCH, ZR_ADMISSION_ON_TIME, 600000);
	ck_assert_int_ne(reason_of(BATCH, false), ZR_ADMISSION_ACCEPTED);
	specs[BATCH].repeats = 3;
	ck_assert_int_eq(reason_of(BATCH, false), ZR_ADMISSION_ACCEPTED);
	specs[BATCH].repeats = 0;
	strcpy(steps[BATCH].label, "large");
	ck_assert_int_eq(reason_of(BATCH, false), ZR_ADMISSION_ACCEPTED);
	steps[BATCH].label[0] = '\0';
	steps[BATCH].flags = ZR_STEP_LONG_RUNNING;
	ck_assert_int_eq(reason_of(BATCH, false), ZR_ADMISSION_ACCEPTED);
}
END_TEST

/* Load: below full load, or full of a resource that the job does not need. */
START_TEST(test_nothing_is_rejected_below_full_load)
{
	set_waiting(URGENT, ZR_ADMISSION_ON_TIME, 60000);
	set_waiting(URGENT, ZR_ADMISSION_OVER_SHARE, 60000);
	pool.used_permille[ZR_ADMISSION_MILLICPUS] = 690;
	ck_assert_int_eq(reason_of(URGENT, true), ZR_ADMISSION_ACCEPTED);
	pool.used_permille[ZR_ADMISSION_ACCELERATORS] = 1000;
	pool.capacity[ZR_ADMISSION_ACCELERATORS] = 8;
	classes[URGENT]
		.waiting_ms[ZR_ADMISSION_ON_TIME][ZR_ADMISSION_ACCELERATORS] =
		60000;
	ck_assert_int_eq(reason_of(URGENT, true), ZR_ADMISSION_ACCEPTED);
}
END_TEST

/*
 * Load: capacity that returns. Callers that come back after the time that they
 * were told are accepted, and do not come back together.
 */
START_TEST(test_capacity_that_returns)
{
	uint32_t waiting_ms = 8000;
	uint32_t earliest = UINT32_MAX;
	uint32_t latest = 0;
	uint64_t hash;

	for (hash = 0; hash < 100; hash++) {
		uint32_t retry_ms;

		set_waiting(URGENT, ZR_ADMISSION_ON_TIME, waiting_ms);
		retry_ms = decide(URGENT, false, hash * 7919).retry_after_ms;
		ck_assert_uint_gt(retry_ms, 0);
		earliest = retry_ms < earliest ? retry_ms : earliest;
		latest = retry_ms > latest ? retry_ms : latest;
		set_waiting(URGENT, ZR_ADMISSION_ON_TIME,
			    waiting_ms > retry_ms ? waiting_ms - retry_ms : 0);
		ck_assert_int_eq(reason_of(URGENT, false),
				 ZR_ADMISSION_ACCEPTED);
	}
	ck_assert_uint_gt(latest - earliest, 1000);
	/*
	 * Three times the objective later, the planner ranks a new job before
	 * all that waits now, however much this is.
	 */
	set_waiting(URGENT, ZR_ADMISSION_ON_TIME, 100 * waiting_ms);
	ck_assert_uint_ge(decide(URGENT, false, 0).retry_after_ms,
			  3 * objective_ms(URGENT));
	ck_assert_uint_le(decide(URGENT, false, 0).retry_after_ms,
			  3 * objective_ms(URGENT) + 1000);
}
END_TEST

/*
 * Load: an account that has used up its upper limit, in a cell with free
 * capacity: its own work delays its jobs.
 */
START_TEST(test_account_at_its_limit)
{
	struct zr_admission_limit limits[] = {{URGENT, 500, 4500},
					      {BATCH, 3000, 9000}};
	struct zr_admission_job job = {
		.spec = &specs[URGENT],
		.objective_ms = objective_ms(URGENT),
		.limits = limits,
		.limit_count = 2,
	};
	struct zr_admission_verdict verdict;

	pool.used_permille[ZR_ADMISSION_MILLICPUS] = 300;
	zr_admission_decide(&verdict, &pool, &job);
	ck_assert_int_eq(verdict.reason, ZR_ADMISSION_ACCEPTED);
	job.over_share = true;
	zr_admission_decide(&verdict, &pool, &job);
	ck_assert_int_eq(verdict.reason, ZR_ADMISSION_REJECTED_OVER_SHARE);
	ck_assert_int_eq(verdict.wait_ms, 8000);
	job.limit_count = 0;
	zr_admission_decide(&verdict, &pool, &job);
	ck_assert_int_eq(verdict.reason, ZR_ADMISSION_ACCEPTED);
}
END_TEST

/*
 * Load: a flood, in which work within the shares takes most of the capacity.
 * What waits above the shares drains with the rest. While as much arrives as
 * drains, no capacity returns soon, and the caller is not told to come back at
 * once.
 */
START_TEST(test_new_work_ranks_before_that_which_waits)
{
	struct zr_admission_verdict verdict;

	set_waiting(URGENT, ZR_ADMISSION_OVER_SHARE, 300);
	ck_assert_int_eq(reason_of(URGENT, true), ZR_ADMISSION_ACCEPTED);
	classes[GANG].arriving_permille[ZR_ADMISSION_WITHIN] = 300;
	classes[BATCH].arriving_permille[ZR_ADMISSION_WITHIN] = 300;
	verdict = decide(URGENT, true, 0);
	ck_assert_int_eq(verdict.reason, ZR_ADMISSION_REJECTED_OVER_SHARE);
	ck_assert_int_eq(verdict.wait_ms, 750);
	ck_assert_uint_lt(verdict.retry_after_ms, 1000);
	classes[URGENT].arriving_permille[ZR_ADMISSION_ABOVE] = 400;
	verdict = decide(URGENT, true, 0);
	ck_assert_int_eq(verdict.wait_ms, 750);
	ck_assert_uint_ge(verdict.retry_after_ms, 3 * objective_ms(URGENT));
	/* It does not delay an urgent job of an account within its share. */
	ck_assert_int_eq(decide(URGENT, false, 0).wait_ms, 0);
}
END_TEST

/* Ten jobs per second: a flood leaves a debt, which time repays. */
START_TEST(test_account_above_its_share)
{
	ck_assert(!zr_admission_over_share(20000, 10, 0));
	ck_assert(zr_admission_over_share(-13000, 10, 0));
	ck_assert(zr_admission_over_share(-13000, 10, 1300));
	ck_assert(!zr_admission_over_share(-13000, 10, 1400));
	ck_assert(!zr_admission_over_share(-13000, 0, 0));
}
END_TEST

/* Three in a hundred runs take seven times as long: the median stays. */
START_TEST(test_run_times_with_a_tail)
{
	struct zr_run_times times = {0};
	int i;

	for (i = 0; i < 19; i++)
		zr_run_times_add(&times, 1000, 1200);
	ck_assert_uint_eq(zr_run_times_quantile(&times, 50), 0);
	for (i = 0; i < 300; i++)
		zr_run_times_add(&times, 1000, i % 33 ? 1200 + i % 3 : 8400);
	ck_assert_uint_eq(zr_run_times_quantile(&times, 50), 1201);
	ck_assert_uint_le(zr_run_times_quantile(&times, 95), 1202);
	ck_assert_uint_eq(zr_run_times_quantile(&times, 100), 8400);
	/* All workers are slower from now on. */
	for (i = 0; i < ZR_RUN_TIMES_KEPT; i++)
		zr_run_times_add(&times, 1000, 5000);
	ck_assert_uint_eq(zr_run_times_quantile(&times, 50), 5000);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_admission");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, NULL);
	tcase_add_test(tcase, test_flood_by_two_accounts);
	tcase_add_test(tcase, test_job_above_its_share_behind_the_shares);
	tcase_add_test(tcase, test_burst_of_the_urgent_class);
	tcase_add_test(tcase, test_wide_gang_into_a_full_cell);
	tcase_add_test(tcase, test_unknown_load_rejects_nothing);
	tcase_add_test(tcase, test_unpredictable_jobs_are_accepted);
	tcase_add_test(tcase, test_nothing_is_rejected_below_full_load);
	tcase_add_test(tcase, test_capacity_that_returns);
	tcase_add_test(tcase, test_account_at_its_limit);
	tcase_add_test(tcase, test_new_work_ranks_before_that_which_waits);
	tcase_add_test(tcase, test_account_above_its_share);
	tcase_add_test(tcase, test_run_times_with_a_tail);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

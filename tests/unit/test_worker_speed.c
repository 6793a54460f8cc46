#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/rng.h"
#include "cell/policy/worker_speed.h"

/*
 * Learned run times and speeds under the loads of docs/design/
 * 2026-12-hard-load.md: a pool with speeds 0.6, 1.0 and 1.6; 3 in 100 tasks
 * that take 7 times as long; estimates that are off by class; a sixth of the
 * workers five times slower for 6.5 s.
 */

#define WORKERS 60
#define BATCH_ESTIMATE_MS 1700
#define BATCH_MS 2500
#define URGENT_ESTIMATE_MS 1200
#define URGENT_MS 750
#define TAIL_PERCENT 3
#define TAIL_FACTOR 7
#define SICK_FACTOR 5

static const double true_speeds[] = {0.6, 1.0, 1.6};
static const char *const kinds[] = {"old", "mid", "new"};

static struct zr_speed_table table;
static struct zr_worker_speed speeds[WORKERS];
static struct rng rng;
static uint32_t batch;
static uint32_t urgent;

static void set_up(void)
{
	int i;

	memset(&table, 0, sizeof(table));
	memset(speeds, 0, sizeof(speeds));
	rng = (struct rng){1};
	for (i = 0; i < WORKERS; i++)
		zr_speed_worker_set(&table, &speeds[i], kinds[i % 3], 1);
	batch = zr_speed_class_get_or_add(&table, "batch", BATCH_ESTIMATE_MS);
	urgent =
		zr_speed_class_get_or_add(&table, "urgent", URGENT_ESTIMATE_MS);
}

static void end_run(int worker, bool is_urgent, double factor, int64_t now)
{
	double ms = is_urgent ? URGENT_MS : BATCH_MS;
	struct zr_speed_run run = {
		.task = {is_urgent ? urgent : batch, ZR_SPEED_NEAR,
			 is_urgent ? URGENT_ESTIMATE_MS : BATCH_ESTIMATE_MS},
	};

	ms *= factor * (90 + rng_below(&rng, 21)) / 100;
	if (rng_chance(&rng, TAIL_PERCENT))
		ms *= TAIL_FACTOR;
	run.run_ms = (int64_t)(ms / true_speeds[worker % 3]);
	zr_speed_add_run(&table, &speeds[worker], &run, now);
	zr_speed_judge(&speeds[worker], now);
}

/* Batches run on slow workers only, urgent tasks on fast ones and some others.
 */
static int64_t learn(int runs)
{
	int64_t now = 100000;
	int i;

	for (i = 0; i < runs; i++, now += 10) {
		int worker = (int)rng_below(&rng, WORKERS);
		bool is_urgent = rng_chance(&rng, 20 + 30 * (worker % 3));

		end_run(worker, is_urgent, 1, now);
	}
	return now;
}

static double ratio(int a, int b, int64_t now)
{
	return (double)zr_speed_permille(&table, &speeds[a], now) /
	       zr_speed_permille(&table, &speeds[b], now);
}

/*
 * Guards against speeds that follow tails, or the mix of classes that a worker
 * happens to run, instead of the worker.
 */
START_TEST(test_speeds_are_learned_under_tails)
{
	int64_t now = learn(4000);
	int i;

	for (i = 0; i < WORKERS; i += 3) {
		ck_assert_double_eq_tol(ratio(i, i + 1, now), 0.6, 0.12);
		ck_assert_double_eq_tol(ratio(i + 2, i + 1, now), 1.6, 0.32);
		ck_assert_int_lt(zr_speed_band(&table, &speeds[i], now),
				 zr_speed_band(&table, &speeds[i + 1], now));
		ck_assert_int_lt(zr_speed_band(&table, &speeds[i + 1], now),
				 zr_speed_band(&table, &speeds[i + 2], now));
	}
}
END_TEST

/* Guards against times that are taken from estimates, which are off by class.
 */
START_TEST(test_run_times_are_those_of_the_class)
{
	double factor;

	learn(4000);
	factor = (double)zr_speed_usual_ms(&table, batch, ZR_SPEED_NEAR,
					   BATCH_ESTIMATE_MS) /
		 zr_speed_usual_ms(&table, urgent, ZR_SPEED_NEAR,
				   URGENT_ESTIMATE_MS);
	ck_assert_double_eq_tol(factor, (double)BATCH_MS / URGENT_MS, 0.4);
	/* One of three tasks is seldom in the tail, one of 25 is half the time.
	 */
	ck_assert_uint_lt(
		zr_speed_longest_ms(&table, batch, BATCH_ESTIMATE_MS, 3),
		UINTMAX_C(2) * BATCH_MS);
	ck_assert_uint_gt(
		zr_speed_longest_ms(&table, batch, BATCH_ESTIMATE_MS, 25),
		UINTMAX_C(4) * BATCH_MS);
}
END_TEST

/* Guards against a new worker that is taken for a usual one of the pool. */
START_TEST(test_new_worker_has_the_speed_of_its_kind)
{
	int64_t now = learn(4000);
	struct zr_worker_speed fresh = {0};
	int band = zr_speed_band(&table, &speeds[0], now);

	zr_speed_worker_set(&table, &fresh, "old", 1);
	ck_assert_int_eq(zr_speed_band(&table, &fresh, now), band);
	/* A new incarnation may be another machine. */
	zr_speed_worker_set(&table, &speeds[0], "new", 2);
	ck_assert_int_eq(zr_speed_band(&table, &speeds[0], now),
			 zr_speed_band(&table, &speeds[2], now));
}
END_TEST

/* Progress of @runs active batch runs on a worker for @ms. */
static int64_t observe(struct zr_speed_progress *active, int runs, int worker,
		       const double *factors, int64_t now, int64_t ms)
{
	const struct zr_speed_task task = {batch, ZR_SPEED_NEAR,
					   BATCH_ESTIMATE_MS};
	int i;

	now += ms;
	for (i = 0; i < runs; i++)
		zr_speed_observe(&table, &speeds[worker], &active[i], &task,
				 active[i].percent +
					 (uint32_t)(100 * (double)ms *
						    true_speeds[worker % 3] /
						    BATCH_MS / factors[i]),
				 now);
	zr_speed_judge(&speeds[worker], now);
	return now;
}

/*
 * A worker that turns five times slower is found by the first interval of its
 * runs, tells nothing about its usual speed, and is used again when it has
 * recovered.
 */
START_TEST(test_worker_that_turns_slow_is_faulty)
{
	const double usual[] = {1, 1, TAIL_FACTOR};
	const double sick[] = {SICK_FACTOR, SICK_FACTOR,
			       TAIL_FACTOR * SICK_FACTOR};
	struct zr_speed_progress active[3] = {0};
	int64_t now = learn(4000);
	uint32_t before = zr_speed_permille(&table, &speeds[1], now);
	int i;

	for (i = 0; i < 3; i++)
		active[i].at = now;
	now = observe(active, 3, 1, usual, now, 500);
	ck_assert(!zr_speed_is_faulty(&speeds[1], now));
	now = observe(active, 3, 1, sick, now, 500);
	ck_assert(zr_speed_is_faulty(&speeds[1], now));
	ck_assert_uint_lt(zr_speed_permille(&table, &speeds[1], now),
			  before / 3);
	for (i = 0; i < 6; i++) {
		now = observe(active, 3, 1, sick, now, 1000);
		end_run(1, false, SICK_FACTOR, now);
	}
	ck_assert(zr_speed_is_faulty(&speeds[1], now));
	now = observe(active, 3, 1, usual, now, 500);
	ck_assert(!zr_speed_is_faulty(&speeds[1], now));
	ck_assert_uint_eq(zr_speed_permille(&table, &speeds[1], now), before);
	/* Without runs, it gets work again after a while. */
	now = observe(active, 3, 1, sick, now, 500);
	ck_assert(!zr_speed_is_faulty(&speeds[1], now + 5000));
}
END_TEST

/* Guards against healthy workers that are avoided because of their tails. */
START_TEST(test_tails_are_no_fault_of_the_worker)
{
	const double two_tails[] = {TAIL_FACTOR, TAIL_FACTOR, 1};
	struct zr_speed_progress active[3] = {0};
	int64_t now = learn(4000);
	int i;

	for (i = 0; i < 3; i++)
		active[i].at = now;
	now = observe(active, 2, 1, two_tails, now, 500);
	ck_assert(!zr_speed_is_faulty(&speeds[1], now));
	now = observe(active, 3, 1, two_tails, now, 500);
	ck_assert(!zr_speed_is_faulty(&speeds[1], now));
	ck_assert_int_eq(zr_speed_cause_of(&table, &speeds[1], &active[0], now),
			 ZR_SPEED_CAUSE_TAIL);
	ck_assert_int_eq(zr_speed_cause_of(&table, &speeds[1], &active[2], now),
			 ZR_SPEED_CAUSE_NONE);
}
END_TEST

/*
 * Guards against moves that gain nothing: of a tail to a worker that is no
 * faster, of a run that is nearly done, and of one whose checkpoint is old.
 */
START_TEST(test_moves_only_where_the_rest_ends_sooner)
{
	/* Of 2.5 s, 40 percent are done, at a seventh of the usual speed. */
	struct zr_speed_move move = {
		.cause = ZR_SPEED_CAUSE_TAIL,
		.here_log2 = -2.81F,
		.usual_here_ms = BATCH_MS,
		.usual_there_ms = BATCH_MS,
		.percent = 40,
		.saved_percent = 40,
		.cost_ms = 500,
	};

	ck_assert(!zr_speed_should_move(&move));
	move.there_log2 = 0.7F;
	ck_assert(zr_speed_should_move(&move));
	move.saved_percent = 0;
	ck_assert(!zr_speed_should_move(&move));
	/* On a faulty worker, the task has its usual speed elsewhere. */
	move.cause = ZR_SPEED_CAUSE_WORKER;
	move.there_log2 = 0;
	ck_assert(zr_speed_should_move(&move));
	move.percent = 95;
	ck_assert(!zr_speed_should_move(&move));
}
END_TEST

/*
 * Guards against fast workers that are taken by work that has time, and against
 * an order by which tight work gets slow ones.
 */
START_TEST(test_bands_by_time_left)
{
	struct zr_speed_need need = {2500, 2500, 20000, false};

	/* On time on a worker of 0.6, so this comes before faster ones. */
	int wanted = zr_speed_wanted_band(&need, 1);

	ck_assert_int_le(wanted, -1);
	ck_assert_int_lt(zr_speed_order(-1, false, wanted),
			 zr_speed_order(1, false, wanted));
	need.left_ms = 3500;
	ck_assert_int_eq(zr_speed_wanted_band(&need, 1), 0);
	need.urgent = true;
	wanted = zr_speed_wanted_band(&need, 1);
	ck_assert_int_lt(zr_speed_order(1, false, wanted),
			 zr_speed_order(0, false, wanted));
	/* Far from the data, a fast worker finishes as late as a usual one. */
	ck_assert_int_lt(zr_speed_order(0, false, wanted),
			 zr_speed_order(1 - 1, true, wanted));
}
END_TEST

/* Guards against gangs with one slow member, and with needlessly fast ones. */
START_TEST(test_gang_gets_workers_of_one_band)
{
	uint32_t slots[ZR_SPEED_BANDS] = {0};

	slots[-1 - ZR_SPEED_BAND_MIN] = 5;
	slots[0 - ZR_SPEED_BAND_MIN] = 25;
	slots[1 - ZR_SPEED_BAND_MIN] = 15;
	ck_assert_int_eq(zr_speed_gang_band(slots, 20, -1), 0);
	ck_assert_int_eq(zr_speed_gang_band(slots, 15, ZR_SPEED_BAND_MAX), 1);
	ck_assert_int_eq(zr_speed_gang_band(slots, 20, ZR_SPEED_BAND_MAX), 0);
	ck_assert_int_eq(zr_speed_gang_band(slots, 45, 1), -1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("worker_speed");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, NULL);
	tcase_add_test(tcase, test_speeds_are_learned_under_tails);
	tcase_add_test(tcase, test_run_times_are_those_of_the_class);
	tcase_add_test(tcase, test_new_worker_has_the_speed_of_its_kind);
	tcase_add_test(tcase, test_worker_that_turns_slow_is_faulty);
	tcase_add_test(tcase, test_tails_are_no_fault_of_the_worker);
	tcase_add_test(tcase, test_moves_only_where_the_rest_ends_sooner);
	tcase_add_test(tcase, test_bands_by_time_left);
	tcase_add_test(tcase, test_gang_gets_workers_of_one_band);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

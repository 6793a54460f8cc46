#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "cell/policy/past_use.h"

#define HOUR_MS INT64_C(3600000)
#define SECOND_MS INT64_C(1000)

static struct zr_past_use_account *account(struct zr_past_use *use,
					   const char *name)
{
	return zr_past_use_get_or_add(use, name);
}

/* Use that does not decay would hold a burst against an account for ever. */
START_TEST(test_use_halves_in_the_half_life)
{
	struct zr_past_use use;
	int i;

	zr_past_use_init(&use, HOUR_MS, 0);
	zr_past_use_add(&use, "a", 1000000);
	use.rest_core_ms = 1000;
	zr_past_use_decay(&use, HOUR_MS);
	ck_assert_double_eq_tol(account(&use, "a")->core_ms, 500000, 1);
	/* Many small steps decay as much as a large one. */
	for (i = 1; i <= 3600; i++)
		zr_past_use_decay(&use, HOUR_MS + i * SECOND_MS);
	ck_assert_double_eq_tol(account(&use, "a")->core_ms, 250000, 1);
	ck_assert_double_eq_tol(use.rest_core_ms, 250, 1);
	/* A clock that is behind changes nothing. */
	zr_past_use_decay(&use, HOUR_MS);
	ck_assert_double_eq_tol(account(&use, "a")->core_ms, 250000, 1);
	zr_past_use_decay(&use, 100 * HOUR_MS);
	ck_assert_uint_eq(use.count, 0);
	zr_past_use_clear(&use);
}
END_TEST

START_TEST(test_accelerator_costs_eight_processors)
{
	const struct zr_resources need = {.millicpus = 500, .accelerators = 2};

	ck_assert_int_eq(zr_past_use_cost(&need, 2000), 33000);
	/* The clock of an earlier owner's host may be ahead. */
	ck_assert_int_eq(zr_past_use_cost(&need, -5), 0);
}
END_TEST

/* An account that uses no more than its weight entitles it to is not delayed.
 */
START_TEST(test_excess_is_relative_to_the_weights)
{
	struct zr_past_use use;

	zr_past_use_init(&use, HOUR_MS, 0);
	zr_past_use_add(&use, "large", 30000);
	zr_past_use_add(&use, "small", 30000);
	zr_past_use_judge(&use);
	ck_assert_uint_eq(account(&use, "large")->excess_permille, 0);
	ck_assert_uint_eq(account(&use, "small")->excess_permille, 0);
	account(&use, "large")->weight = 30;
	account(&use, "small")->weight = 10;
	zr_past_use_judge(&use);
	ck_assert_uint_eq(account(&use, "large")->excess_permille, 0);
	ck_assert_uint_eq(account(&use, "small")->used_permille, 500);
	ck_assert_uint_eq(account(&use, "small")->share_permille, 250);
	ck_assert_uint_eq(account(&use, "small")->excess_permille, 500);
	zr_past_use_clear(&use);
}
END_TEST

/*
 * An account without use competes once it has waiting work; an account that has
 * left must not keep a part of the shares.
 */
START_TEST(test_accounts_that_count)
{
	struct zr_past_use use;

	zr_past_use_init(&use, HOUR_MS, 0);
	zr_past_use_add(&use, "a", 1000000);
	zr_past_use_add(&use, "left", 10);
	zr_past_use_judge(&use);
	ck_assert_uint_eq(account(&use, "a")->excess_permille, 0);
	account(&use, "new")->waits = true;
	zr_past_use_judge(&use);
	ck_assert_uint_eq(account(&use, "a")->excess_permille, 500);
	ck_assert_uint_eq(account(&use, "new")->excess_permille, 0);
	zr_past_use_clear(&use);
}
END_TEST

/* The record is bounded, and what it leaves out stays in the total. */
START_TEST(test_record_keeps_the_largest)
{
	struct zr_past_use use;
	char name[ZR_NAME_MAX];
	double rest;
	int i;

	zr_past_use_init(&use, HOUR_MS, 0);
	use.rest_core_ms = 5;
	for (i = 1; i <= 40; i++) {
		snprintf(name, sizeof(name), "c%d", i);
		zr_past_use_add(&use, name, i * 1000);
	}
	ck_assert_uint_eq(zr_past_use_keep_largest(&use, &rest), 32);
	ck_assert_str_eq(use.accounts[0].name, "c40");
	ck_assert_str_eq(use.accounts[31].name, "c9");
	ck_assert_double_eq_tol(rest, 36005, 0.1);
	zr_past_use_clear(&use);
}
END_TEST

static struct zr_cell_step_spec step = {.estimate_ms = 1000};

static struct zr_cell_job make_job(uint32_t priority, int64_t accepted_at)
{
	struct zr_cell_job job = {
		.priority = priority,
		.accepted_at = accepted_at,
		.stretch_permille = 4000,
		.latency_target_ms = 3000,
		.spec = {.steps = &step, .step_count = 1},
	};

	return job;
}

/*
 * A job of the account with the greatest excess comes before each job that was
 * accepted later by its objective, so that it does not wait for ever.
 */
START_TEST(test_delay_is_bounded)
{
	struct zr_cell_job delayed = make_job(2, 0);
	struct zr_cell_job soon = make_job(2, 6999);
	struct zr_cell_job later = make_job(2, 7001);

	ck_assert(zr_cell_priority_rank(&delayed, 1000, 0) >
		  zr_cell_priority_rank(&soon, 0, 0));
	ck_assert(zr_cell_priority_rank(&delayed, 1000, 0) <
		  zr_cell_priority_rank(&later, 0, 0));
	ck_assert_int_eq(zr_past_use_delay_ms(1000, 100 * HOUR_MS),
			 ZR_PAST_USE_DELAY_MAX_MS);
	ck_assert_int_eq(zr_past_use_delay_ms(5000, 7000), 7000);
	ck_assert_int_eq(zr_past_use_delay_ms(1000, -1), 0);
}
END_TEST

/* Past use must not outweigh a tier or a priority. */
START_TEST(test_tiers_and_priorities_come_first)
{
	struct zr_cell_job urgent = make_job(0, 0);
	struct zr_cell_job batch = make_job(1, 0);
	struct zr_cell_job late = make_job(0, -8000);

	ck_assert(zr_cell_priority_rank(&urgent, 1000, 0) <
		  zr_cell_priority_rank(&batch, 0, 0));
	ck_assert(zr_cell_priority_rank(&batch, 1000, 0) <
		  zr_cell_priority_rank(&late, 0, 0));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("past_use");
	TCase *tcase = tcase_create("past_use");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_use_halves_in_the_half_life);
	tcase_add_test(tcase, test_accelerator_costs_eight_processors);
	tcase_add_test(tcase, test_excess_is_relative_to_the_weights);
	tcase_add_test(tcase, test_accounts_that_count);
	tcase_add_test(tcase, test_record_keeps_the_largest);
	tcase_add_test(tcase, test_delay_is_bounded);
	tcase_add_test(tcase, test_tiers_and_priorities_come_first);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "cell/advice.h"

#define HOSTS 9
#define LONG_MS 500
#define MEDIUM_MS 100
#define SHORT_MS 10

static struct zr_cell_advice advice;

static void add_hosts(void)
{
	struct zr_cell_adviser_proxy helpers[HOSTS] = {0};
	int i;

	for (i = 0; i < HOSTS; i++)
		snprintf(helpers[i].name, ZR_NAME_MAX, "host-%d", i);
	advice = (struct zr_cell_advice){0};
	zr_cell_advice_set_proxies(&advice, helpers, HOSTS);
}

static int ask_until_refused(uint32_t question_ms)
{
	struct zr_cell_adviser_proxy_state *helper;
	int asked = 0;

	while ((helper = zr_cell_advice_pick_proxy(&advice, 0, question_ms))) {
		helper->busy = true;
		asked++;
	}
	return asked;
}

/* A wave of long questions must not keep a waiting customer's short one. */
START_TEST(test_long_questions_spare_hosts)
{
	add_hosts();
	ck_assert_int_eq(ask_until_refused(LONG_MS), HOSTS - 3);
	ck_assert_int_eq(ask_until_refused(MEDIUM_MS), 2);
	ck_assert_int_eq(ask_until_refused(SHORT_MS), 1);
}
END_TEST

START_TEST(test_few_hosts_serve_long_questions)
{
	struct zr_cell_adviser_proxy one = {.name = "host"};

	advice = (struct zr_cell_advice){0};
	zr_cell_advice_set_proxies(&advice, &one, 1);
	ck_assert_int_eq(ask_until_refused(LONG_MS), 1);
}
END_TEST

START_TEST(test_failed_host_rests)
{
	add_hosts();
	advice.proxies[0].backoff_until = 100;
	ck_assert_int_eq(zr_cell_advice_idle_count(&advice, 50), HOSTS - 1);
	ck_assert_int_eq(zr_cell_advice_idle_count(&advice, 100), HOSTS);
}
END_TEST

START_TEST(test_share_is_learned)
{
	int i;

	add_hosts();
	for (i = 0; i < 100; i++)
		zr_cell_advice_record_answer(&advice, "q", 40, 10);
	ck_assert_int_eq(zr_cell_advice_permitted_permille(&advice, "q"), 250);
	/* Some answers without a permitted worker are no reason to ask all. */
	for (i = 0; i < 100; i++)
		zr_cell_advice_record_answer(&advice, "q", 40, 0);
	ck_assert_int_ge(zr_cell_advice_permitted_permille(&advice, "q"), 50);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_advice");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_long_questions_spare_hosts);
	tcase_add_test(tcase, test_few_hosts_serve_long_questions);
	tcase_add_test(tcase, test_failed_host_rests);
	tcase_add_test(tcase, test_share_is_learned);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

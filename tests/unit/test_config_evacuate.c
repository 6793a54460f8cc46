#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/config.h"
#include "zinniarack/errors.h"

static struct zr_config *parse(const char *text)
{
	struct zr_config *config;

	ck_assert_int_eq(zr_config_parse(&config, "test", text, strlen(text)),
			 0);
	return config;
}

/*
 * Each reason has its own code. Without declared domains it is not known
 * whether one would be left, so nothing can be evacuated.
 */
START_TEST(test_codes_of_refused_changes)
{
	struct zr_config *none = parse("teams: []\n");
	struct zr_config *some = parse("failure_domains:\n"
				       "  - name: a\n  - name: b\n"
				       "  - name: c\n"
				       "evacuated:\n  - name: a\n");
	struct zr_config *last = parse("failure_domains:\n"
				       "  - name: a\n  - name: b\n"
				       "evacuated:\n  - name: a\n");

	ck_assert_int_eq(zr_config_check_evacuate(none, "a"), ZR_E_NOT_FOUND);
	ck_assert_int_eq(zr_config_check_evacuate(some, "d"), ZR_E_NOT_FOUND);
	ck_assert_int_eq(zr_config_check_evacuate(some, "a"), ZR_E_EXISTS);
	ck_assert_int_eq(zr_config_check_evacuate(some, "b"), 0);
	ck_assert_int_eq(zr_config_check_evacuate(last, "b"), ZR_E_STATE);
	ck_assert_int_eq(zr_config_check_restore(some, "d"), ZR_E_NOT_FOUND);
	ck_assert_int_eq(zr_config_check_restore(some, "b"), ZR_E_STATE);
	ck_assert_int_eq(zr_config_check_restore(some, "a"), 0);
	zr_config_free(none);
	zr_config_free(some);
	zr_config_free(last);
}
END_TEST

/* A proposal by another way than the command must not empty all domains. */
START_TEST(test_document_leaves_a_domain)
{
	static const char all[] = "failure_domains:\n  - name: a\n"
				  "evacuated:\n  - name: a\n";
	struct zr_config *config = NULL;

	ck_assert_int_eq(zr_config_parse(&config, "test", all, strlen(all)),
			 ZR_E_INVALID);
}
END_TEST

/* The text that the store holds keeps the evacuation. */
START_TEST(test_evacuation_is_printed)
{
	struct zr_config *config = parse("failure_domains:\n"
					 "  - name: a\n  - name: b\n"
					 "evacuated:\n  - name: a\n");
	struct zr_config *again;
	size_t length;
	char *text;

	ck_assert_int_eq(zr_config_print(&text, &length, config), 0);
	ck_assert_int_eq(zr_config_parse(&again, "test", text, length), 0);
	ck_assert(zr_config_is_evacuated(again, "a"));
	ck_assert(!zr_config_is_evacuated(again, "b"));
	free(text);
	zr_config_free(again);
	zr_config_free(config);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config_evacuate");
	TCase *tcase = tcase_create("config_evacuate");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_codes_of_refused_changes);
	tcase_add_test(tcase, test_document_leaves_a_domain);
	tcase_add_test(tcase, test_evacuation_is_printed);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

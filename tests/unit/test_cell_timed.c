#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/cell_script.h"

/* The time limit of a test is that of the Check framework, 4 s. */

static char *output;
static size_t output_length;

static void run_lines(const char *const *lines, size_t count)
{
	FILE *out = open_memstream(&output, &output_length);
	struct cell_script *script = cell_script_new(out);
	char line[256];
	size_t i;

	for (i = 0; i < count; i++) {
		snprintf(line, sizeof(line), "%s\n", lines[i]);
		cell_script_run(script, line);
	}
	cell_script_free(script);
	fclose(out);
}

#define RUN(lines) run_lines(lines, sizeof(lines) / sizeof(*(lines)))

/*
 * Regression: occurrences that were not due were ranked in each planning pass,
 * and each rank went through all of them. With a few such jobs a pass took
 * longer than the lease of the ownership, and no other job started.
 */
START_TEST(test_occurrences_not_due)
{
	static const char *const lines[] = {
		"host a",
		"advance 100",
		"worker w1 4000",
		"advance 700",
		"repeats 10080 3600000 60000",
		"jobs a timed 8 1x500:500",
		"repeats 0 0 0",
		"submit a ordinary 1x1000:100",
		"advance 3000",
		"state a ordinary",
		"advance 10",
	};

	RUN(lines);
	ck_assert_ptr_nonnull(strstr(output, "ordinary: completed"));
	free(output);
}
END_TEST

/* The same for occurrences that are due and find no capacity. */
START_TEST(test_occurrences_behind)
{
	static const char *const lines[] = {
		"host a",
		"advance 100",
		"worker w1 1000",
		"worker w2 4000",
		"advance 700",
		"repeats 10080 -700000000 60000",
		"jobs a timed 8 1x2000:60000",
		"repeats 0 0 0",
		"submit a ordinary 1x1000:100",
		"advance 3000",
		"state a ordinary",
		"advance 10",
	};

	RUN(lines);
	ck_assert_ptr_nonnull(strstr(output, "ordinary: completed"));
	free(output);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_timed");
	TCase *tcase = tcase_create("cell_timed");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_occurrences_not_due);
	tcase_add_test(tcase, test_occurrences_behind);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#include <check.h>
#include <stdlib.h>

#include "cell/counts.h"

static struct zr_cell_known_counts counts;

static void set_up(void)
{
	counts = (struct zr_cell_known_counts){0};
}

static void tear_down(void)
{
	zr_cell_known_counts_clear(&counts);
}

/* Applies a read of numbers that an owner has published at a revision. */
static bool read_published(uint32_t jobs, int64_t revision,
			   int64_t term_revision, int64_t now)
{
	zx_cell_count entry = {"q", jobs};
	zx_cell_counts record = {{1, &entry}};
	struct zr_cell_buffer bytes;
	struct zr_store_value value = {.mod_revision = revision};
	bool usable;

	ck_assert(!zr_cell_encode(&bytes, (xdrproc_t)xdr_zx_cell_counts,
				  &record));
	value.data = bytes.data;
	value.length = bytes.length;
	usable = zr_cell_known_counts_update(&counts, &value, term_revision,
					     now);
	free(bytes.data);
	return usable;
}

START_TEST(test_owner_publishes)
{
	ck_assert(read_published(12, 110, 100, 1000));
	ck_assert_uint_eq(zr_cell_known_counts_get(&counts, "q"), 12);
	ck_assert_uint_eq(zr_cell_known_counts_get(&counts, "other"), 0);
	ck_assert(read_published(149, 120, 100, 5000));
	ck_assert_uint_eq(zr_cell_known_counts_get(&counts, "q"), 149);
}
END_TEST

/* Issue 28: "12 jobs are said to wait; 149 have waited", while an owner loaded.
 */
START_TEST(test_counts_of_an_earlier_term_are_not_told)
{
	ck_assert(read_published(12, 110, 100, 1000));
	/* A takeover is over by then. */
	ck_assert(read_published(12, 110, 200, 2900));
	ck_assert(!read_published(12, 110, 200, 3100));
	ck_assert(!read_published(12, 110, 200, 60000));
	ck_assert(read_published(149, 210, 200, 60100));
	ck_assert_uint_eq(zr_cell_known_counts_get(&counts, "q"), 149);
}
END_TEST

/* A frontend that has not told any before doesn't know how old they are. */
START_TEST(test_counts_of_an_unknown_age_are_not_told)
{
	ck_assert(!read_published(12, 110, 200, 1000));
	ck_assert(!read_published(12, 110, 0, 1100));
	ck_assert(!zr_cell_known_counts_update(&counts, NULL, 200, 1200));
	ck_assert(read_published(12, 210, 200, 1300));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_counts");
	TCase *tcase = tcase_create("cell_counts");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_owner_publishes);
	tcase_add_test(tcase, test_counts_of_an_earlier_term_are_not_told);
	tcase_add_test(tcase, test_counts_of_an_unknown_age_are_not_told);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

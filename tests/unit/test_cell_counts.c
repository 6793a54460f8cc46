#include <check.h>
#include <stdlib.h>
#include <string.h>

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

/* A record with the lists of a summary as long as they may be. */
static struct zr_cell_buffer encode_full_load(void)
{
	static zx_cell_class_load classes[ZX_CELL_LOAD_CLASSES_MAX];
	static zx_cell_limit_load limits[ZX_CELL_LOAD_LIMITS_MAX];
	static zx_cell_pool_load pools[ZX_CELL_LOAD_POOLS_MAX];
	static zx_cell_account_load accounts[ZX_CELL_LOAD_ACCOUNTS_MAX];
	static char name[ZX_CELL_NAME_MAX + 1];
	zx_cell_count entry = {"q", 12};
	zx_cell_stored_counts record = {
		{{1, &entry}},
		{{ZX_CELL_LOAD_POOLS_MAX, pools},
		 {ZX_CELL_LOAD_ACCOUNTS_MAX, accounts}}};
	struct zr_cell_buffer bytes;
	size_t i;

	memset(name, 'n', ZX_CELL_NAME_MAX);
	for (i = 0; i < ZX_CELL_LOAD_POOLS_MAX; i++)
		pools[i].pool = name;
	/* load_summary.c lists 24 classes at most, of all pools together. */
	pools[0].classes.classes_val = classes;
	pools[0].classes.classes_len = 16;
	pools[1].classes.classes_val = classes;
	pools[1].classes.classes_len = 8;
	for (i = 0; i < ZX_CELL_LOAD_ACCOUNTS_MAX; i++) {
		accounts[i].client = name;
		accounts[i].limits.limits_val = limits;
		accounts[i].limits.limits_len = ZX_CELL_LOAD_LIMITS_MAX;
	}
	ck_assert(!zr_cell_encode_counts(&bytes, &record));
	return bytes;
}

/* The summary is read by all hosts, some of which have thin links. */
START_TEST(test_load_is_bounded)
{
	struct zr_cell_buffer bytes = encode_full_load();

	ck_assert_uint_le(bytes.length, 4096);
	free(bytes.data);
}
END_TEST

/* During an update, hosts of the earlier version read the record as well. */
START_TEST(test_load_does_not_disturb_other_versions)
{
	struct zr_cell_buffer bytes = encode_full_load();
	struct zr_store_value value = {.mod_revision = 110};
	zx_cell_stored_counts record = {0};
	zx_cell_counts only_counts = {0};

	ck_assert(!zr_cell_decode(&only_counts, (xdrproc_t)xdr_zx_cell_counts,
				  bytes.data, bytes.length));
	ck_assert_uint_eq(only_counts.queues.queues_val[0].jobs, 12);
	value.data = bytes.data;
	value.length = bytes.length;
	ck_assert(zr_cell_known_counts_update(&counts, &value, 100, 1000));
	ck_assert_uint_eq(zr_cell_known_counts_get(&counts, "q"), 12);
	free(bytes.data);
	ck_assert(!zr_cell_encode(&bytes, (xdrproc_t)xdr_zx_cell_counts,
				  &only_counts));
	ck_assert(!zr_cell_decode_counts(&record, bytes.data, bytes.length));
	ck_assert_uint_eq(record.load.pools.pools_len, 0);
	xdr_free((xdrproc_t)xdr_zx_cell_stored_counts, &record);
	xdr_free((xdrproc_t)xdr_zx_cell_counts, &only_counts);
	free(bytes.data);
}
END_TEST

/*
 * The owner may have published the first summary that a host reads long ago. A
 * summary of an earlier term tells nothing about the present one.
 */
START_TEST(test_age_of_the_load)
{
	struct zr_cell_buffer bytes = encode_full_load();
	struct zr_store_value value = {.mod_revision = 110};
	struct zr_cell_known_load load = {0};

	value.data = bytes.data;
	value.length = bytes.length;
	ck_assert_int_eq(zr_cell_known_load_age_ms(&load, 100, 1000), -1);
	zr_cell_known_load_update(&load, &value, 1000);
	ck_assert_int_eq(zr_cell_known_load_age_ms(&load, 100, 1010), -1);
	zr_cell_known_load_update(&load, &value, 1300);
	ck_assert_int_eq(zr_cell_known_load_age_ms(&load, 100, 1310), -1);
	value.mod_revision = 120;
	zr_cell_known_load_update(&load, &value, 1600);
	ck_assert_int_eq(zr_cell_known_load_age_ms(&load, 100, 1610), 310);
	/* The owner has stopped publishing. */
	zr_cell_known_load_update(&load, &value, 3000);
	ck_assert_int_eq(zr_cell_known_load_age_ms(&load, 100, 3301), 2001);
	ck_assert_int_eq(zr_cell_known_load_age_ms(&load, 200, 3301), -1);
	ck_assert_int_eq(zr_cell_known_load_age_ms(&load, 0, 3301), -1);
	zr_cell_known_load_clear(&load);
	free(bytes.data);
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
	tcase_add_test(tcase, test_load_is_bounded);
	tcase_add_test(tcase, test_load_does_not_disturb_other_versions);
	tcase_add_test(tcase, test_age_of_the_load);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#include <check.h>
#include <stdlib.h>

#include "cell/peer_sizes.h"

#define READ_INTERVAL_MS 4000

static struct zr_cell_peer_sizes sizes;
static int64_t now;

static void set_up(void)
{
	sizes = (struct zr_cell_peer_sizes){0};
	now = 1000;
}

static void tear_down(void)
{
	zr_cell_peer_sizes_clear(&sizes);
}

/* A read of the registrations that shows a large host, or no host at all. */
static void read_registrations(bool large_is_registered)
{
	zr_cell_peer_sizes_begin(&sizes);
	if (large_is_registered)
		zr_cell_peer_sizes_add(&sizes, "large", 500);
	zr_cell_peer_sizes_end(&sizes, now);
}

/* Issue 28: after a lapse of all registrations, no host knew of a larger one.
 */
START_TEST(test_size_is_known_after_a_lapse)
{
	ck_assert_uint_eq(zr_cell_peer_sizes_largest(&sizes), 0);
	read_registrations(true);
	/* The store is away for an hour, and all registrations have expired. */
	now += 3600000;
	read_registrations(false);
	ck_assert_uint_eq(zr_cell_peer_sizes_largest(&sizes), 500);
}
END_TEST

/* A host that has been replaced must not delay takeovers for ever. */
START_TEST(test_absent_host_is_forgotten)
{
	int64_t lost_at;

	read_registrations(true);
	lost_at = now;
	while (now - lost_at < 56000) {
		now += READ_INTERVAL_MS;
		read_registrations(false);
	}
	ck_assert_uint_eq(zr_cell_peer_sizes_largest(&sizes), 500);
	now += READ_INTERVAL_MS;
	read_registrations(false);
	ck_assert_uint_eq(zr_cell_peer_sizes_largest(&sizes), 0);
}
END_TEST

START_TEST(test_absence_ends_with_registration)
{
	int i;

	for (i = 0; i < 100; i++) {
		read_registrations(i % 10 == 0);
		now += READ_INTERVAL_MS;
	}
	ck_assert_uint_eq(zr_cell_peer_sizes_largest(&sizes), 500);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_peer_sizes");
	TCase *tcase = tcase_create("cell_peer_sizes");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_size_is_known_after_a_lapse);
	tcase_add_test(tcase, test_absent_host_is_forgotten);
	tcase_add_test(tcase, test_absence_ends_with_registration);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

/*
 * Incremental grant requests and results. After a lost result, the entry daemon
 * and the scheduler refer to different bases. The slot escrow must still learn
 * of all slots that the entry daemon holds, or it would grant them twice.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake_time.h"
#include "route/grant_changes.h"
#include "route/grant_message.h"
#include "zinniarack/errors.h"

#define SLOTS 8u

static struct fake_time *fake;
static struct zr_slot_escrow *escrow;
static struct zr_grant_changes *changes;

static void set_up(void)
{
	fake = fake_time_new();
	ck_assert_int_eq(zr_slot_escrow_new(&escrow, fake_time_clock(fake)), 0);
	ck_assert_int_eq(zr_grant_changes_new(&changes), 0);
	zr_slot_escrow_begin_term(escrow, false);
}

static void tear_down(void)
{
	zr_grant_changes_free(changes);
	zr_slot_escrow_free(escrow);
	fake_time_free(fake);
}

/* A result with the grant of one worker, and the memory that it refers to. */
struct grant_result {
	zx_grant grant;
	zx_name service;
	zx_grant_result result;
};

/*
 * Sends a grant request that lists @held_slots slots of one worker as held, or
 * no worker if the number is negative.
 */
static int request(struct grant_result *out, char *entry, uint64_t sequence,
		   uint64_t base, int held_slots)
{
	zx_held held = {"w1", (u_int)held_slots};
	zx_grant_args full;
	zx_grant_args args = {
		.entry = entry,
		.domain = "d1",
		.incarnation = 1,
		.sequence = sequence,
		.base = base,
		.held = {held_slots < 0 ? 0 : 1, &held},
	};
	uint32_t holder;
	int error = zr_grant_changes_expand(&full, changes, &args);

	if (error < 0)
		return error;
	error = zr_grant_message_process(&holder, escrow, &full, "d1");
	free(full.held.held_val);
	if (error < 0)
		return error;
	zr_slot_escrow_set_capacity(escrow, "w1", SLOTS);
	memset(out, 0, sizeof(*out));
	out->service = "faces";
	out->grant.worker = "w1";
	out->grant.address = "127.0.0.1:1";
	out->grant.services.services_len = 1;
	/* Allocated, since a grant is freed if it is unchanged and left out. */
	out->grant.services.services_val = calloc(1, sizeof(zx_name));
	out->grant.services.services_val[0] = out->service;
	out->result.grants.grants_len = 1;
	out->result.grants.grants_val = &out->grant;
	zr_grant_message_fill_slots(&out->result, escrow, holder);
	zr_grant_changes_reduce(&out->result, changes, &args);
	if (out->result.resized.resized_len)
		out->grant.slots = out->result.resized.resized_val[0].slots;
	free(out->result.resized.resized_val);
	if (out->result.grants.grants_len)
		free(out->grant.services.services_val);
	return 0;
}

START_TEST(test_unchanged_grant_is_left_out)
{
	struct grant_result result;

	ck_assert_int_eq(request(&result, "a", 1, 0, -1), 0);
	ck_assert(!result.result.changes_only);
	ck_assert_uint_eq(result.grant.slots, SLOTS);
	ck_assert_int_eq(request(&result, "a", 2, 1, -1), 0);
	ck_assert(result.result.changes_only);
	ck_assert_uint_eq(result.result.grants.grants_len, 0);
	ck_assert_uint_eq(result.result.resized.resized_len, 0);
	ck_assert_uint_eq(zr_slot_escrow_outstanding(escrow, "w1"), SLOTS);
}
END_TEST

/*
 * A lost result tells host a to return slots, so host a still uses all of them.
 * Its next request has an old base and must be refused; otherwise the slots
 * would be granted to host b as well.
 */
START_TEST(test_result_lost_between_two_changes)
{
	struct grant_result result;
	int stale_error;

	ck_assert_int_eq(request(&result, "a", 1, 0, -1), 0);
	ck_assert_uint_eq(result.grant.slots, SLOTS);
	ck_assert_int_eq(request(&result, "b", 1, 0, -1), 0);
	ck_assert_int_eq(request(&result, "a", 2, 1, -1), 0);
	ck_assert_uint_lt(result.grant.slots, SLOTS);
	stale_error = request(&result, "a", 3, 1, -1);
	ck_assert_int_eq(request(&result, "b", 2, 0, -1), 0);
	ck_assert_uint_eq(result.grant.slots, 0);
	ck_assert_int_eq(stale_error, ZR_E_CONFLICT);
	ck_assert_int_eq(request(&result, "a", 4, 0, SLOTS), 0);
	ck_assert_uint_eq(zr_slot_escrow_outstanding(escrow, "w1"), SLOTS);
	ck_assert_int_eq(request(&result, "a", 5, 4, 4), 0);
	ck_assert_int_eq(request(&result, "b", 3, 2, -1), 0);
	ck_assert_uint_eq(zr_slot_escrow_outstanding(escrow, "w1"), SLOTS);
}
END_TEST

START_TEST(test_new_owner_refuses_an_old_base)
{
	struct grant_result result;

	ck_assert_int_eq(request(&result, "a", 1, 0, -1), 0);
	zr_grant_changes_clear(changes);
	ck_assert_int_eq(request(&result, "a", 2, 1, -1), ZR_E_CONFLICT);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("grant_changes");
	TCase *tests = tcase_create("changes");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, set_up, tear_down);
	tcase_add_test(tests, test_unchanged_grant_is_left_out);
	tcase_add_test(tests, test_result_lost_between_two_changes);
	tcase_add_test(tests, test_new_owner_refuses_an_old_base);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

/*
 * Asks and answers that carry changes: whatever answer is lost, the escrow
 * hears all that an entry daemon holds.
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

static void setup(void)
{
	fake = fake_time_new();
	ck_assert_int_eq(zr_slot_escrow_new(&escrow, fake_time_clock(fake)), 0);
	ck_assert_int_eq(zr_grant_changes_new(&changes), 0);
	zr_slot_escrow_begin_term(escrow, false);
}

static void teardown(void)
{
	zr_grant_changes_free(changes);
	zr_slot_escrow_free(escrow);
	fake_time_free(fake);
}

struct answer {
	zx_grant grant;
	zx_name service;
	zx_grant_result result;
};

/* Asks about one worker; a negative number of slots lists none as held. */
static int ask(struct answer *out, char *entry, uint64_t sequence,
	       uint64_t base, int held_slots)
{
	zx_held held = {"w1", (u_int)held_slots};
	zx_grant_args whole;
	zx_grant_args args = {
		.entry = entry,
		.domain = "d1",
		.incarnation = 1,
		.sequence = sequence,
		.base = base,
		.held = {held_slots < 0 ? 0 : 1, &held},
	};
	uint32_t holder;
	int error = zr_grant_changes_expand(&whole, changes, &args);

	if (error < 0)
		return error;
	error = zr_grant_message_process(&holder, escrow, &whole, "d1");
	free(whole.held.held_val);
	if (error < 0)
		return error;
	zr_slot_escrow_set_capacity(escrow, "w1", SLOTS);
	memset(out, 0, sizeof(*out));
	out->service = "faces";
	out->grant.worker = "w1";
	out->grant.address = "127.0.0.1:1";
	out->grant.services.services_len = 1;
	/* On the heap, since it is freed when it is left out as unchanged. */
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

START_TEST(test_renewal_names_no_worker)
{
	struct answer answer;

	ck_assert_int_eq(ask(&answer, "a", 1, 0, -1), 0);
	ck_assert(!answer.result.changes_only);
	ck_assert_uint_eq(answer.grant.slots, SLOTS);
	ck_assert_int_eq(ask(&answer, "a", 2, 1, -1), 0);
	ck_assert(answer.result.changes_only);
	ck_assert_uint_eq(answer.result.grants.grants_len, 0);
	ck_assert_uint_eq(answer.result.resized.resized_len, 0);
	ck_assert_uint_eq(zr_slot_escrow_outstanding(escrow, "w1"), SLOTS);
}
END_TEST

/* Host a never hears that it is to give slots back, and uses all of them. */
START_TEST(test_answer_lost_between_two_changes)
{
	struct answer answer;
	int stale;

	ck_assert_int_eq(ask(&answer, "a", 1, 0, -1), 0);
	ck_assert_uint_eq(answer.grant.slots, SLOTS);
	ck_assert_int_eq(ask(&answer, "b", 1, 0, -1), 0);
	ck_assert_int_eq(ask(&answer, "a", 2, 1, -1), 0);
	ck_assert_uint_lt(answer.grant.slots, SLOTS);
	stale = ask(&answer, "a", 3, 1, -1);
	ck_assert_int_eq(ask(&answer, "b", 2, 0, -1), 0);
	ck_assert_uint_eq(answer.grant.slots, 0);
	ck_assert_int_eq(stale, ZR_E_CONFLICT);
	ck_assert_int_eq(ask(&answer, "a", 4, 0, SLOTS), 0);
	ck_assert_uint_eq(zr_slot_escrow_outstanding(escrow, "w1"), SLOTS);
	ck_assert_int_eq(ask(&answer, "a", 5, 4, 4), 0);
	ck_assert_int_eq(ask(&answer, "b", 3, 2, -1), 0);
	ck_assert_uint_eq(zr_slot_escrow_outstanding(escrow, "w1"), SLOTS);
}
END_TEST

START_TEST(test_new_owner_knows_no_base)
{
	struct answer answer;

	ck_assert_int_eq(ask(&answer, "a", 1, 0, -1), 0);
	zr_grant_changes_clear(changes);
	ck_assert_int_eq(ask(&answer, "a", 2, 1, -1), ZR_E_CONFLICT);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("grant_changes");
	TCase *tests = tcase_create("changes");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, test_renewal_names_no_worker);
	tcase_add_test(tests, test_answer_lost_between_two_changes);
	tcase_add_test(tests, test_new_owner_knows_no_base);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

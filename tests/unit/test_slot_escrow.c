/*
 * The slot escrow must never grant a slot twice, even if grant requests and
 * results are lost, repeated or reordered, and after a change of the owner or a
 * restart of an entry daemon.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake_time.h"
#include "route/slot_escrow.h"
#include "zinniarack/errors.h"

#define SLOTS 8u
#define ENTRIES 9u
#define ROUNDS 20000u
#define STEP_MS_MAX 1500u

static const char *const services[] = {"faces"};

static struct fake_time *fake;
static struct zr_slot_escrow *escrow;

static void set_up(void)
{
	fake = fake_time_new();
	ck_assert_int_eq(zr_slot_escrow_new(&escrow, fake_time_clock(fake)), 0);
	zr_slot_escrow_begin_term(escrow, false);
}

static void tear_down(void)
{
	zr_slot_escrow_free(escrow);
	fake_time_free(fake);
}

static int request(uint32_t *out_slots, const char *entry, uint64_t incarnation,
		   uint64_t sequence, uint32_t held_slots, uint32_t wanted)
{
	const struct zr_slot_held held = {"w1", held_slots};
	const struct zr_slot_demand demand = {"faces", wanted};
	const struct zr_slot_request message = {
		.entry = entry,
		.local = true,
		.incarnation = incarnation,
		.sequence = sequence,
		.demand = &demand,
		.demand_count = 1,
		.held = &held,
		.held_count = held_slots ? 1 : 0,
	};
	uint32_t holder;
	int error = zr_slot_escrow_process_request(&holder, escrow, &message);

	zr_slot_escrow_set_capacity(escrow, "w1", SLOTS);
	if (!error)
		*out_slots =
			zr_slot_escrow_grant(escrow, holder, "w1", services, 1);
	return error;
}

START_TEST(test_delayed_request_is_refused)
{
	uint32_t slots = 0;

	ck_assert_int_eq(request(&slots, "e1", 1, 2, 0, 0), 0);
	ck_assert_uint_eq(slots, SLOTS);
	/*
	 * This request was sent before that grant and reports no held slots.
	 * It arrives late and must not release them.
	 */
	ck_assert_int_eq(request(&slots, "e1", 1, 1, 0, 0), ZR_E_CONFLICT);
	ck_assert_uint_eq(zr_slot_escrow_outstanding(escrow, "w1"), SLOTS);
}
END_TEST

START_TEST(test_new_incarnation_gets_slots_after_expiry)
{
	uint32_t slots = 0;

	ck_assert_int_eq(request(&slots, "e1", 1, 5, 0, 0), 0);
	ck_assert_uint_eq(slots, SLOTS);
	ck_assert_int_eq(request(&slots, "e1", 2, 1, 0, 0), 0);
	ck_assert_uint_eq(slots, 0);
	ck_assert_uint_eq(zr_slot_escrow_outstanding(escrow, "w1"), SLOTS);
	fake_time_advance(fake, ZR_GRANT_HOLD_MS + 1);
	ck_assert_int_eq(request(&slots, "e1", 2, 2, 0, 0), 0);
	ck_assert_uint_eq(slots, SLOTS);
}
END_TEST

START_TEST(test_holder_must_return_slots_for_another)
{
	uint32_t slots = 0;

	ck_assert_int_eq(request(&slots, "e1", 1, 1, 0, 9), 0);
	ck_assert_int_eq(request(&slots, "e2", 1, 1, 0, 9), 0);
	ck_assert_uint_eq(slots, 0);
	ck_assert_int_eq(request(&slots, "e1", 1, 2, SLOTS, 9), 0);
	ck_assert_uint_eq(slots, SLOTS / 2);
	ck_assert_uint_eq(zr_slot_escrow_outstanding(escrow, "w1"), SLOTS);
}
END_TEST

/* An entry daemon: the slots granted to it and those that it uses. */
struct entry {
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t granted;
	uint32_t in_use;
	struct timespec expires_at;
	struct timespec busy_until;
};

static struct entry entries[ENTRIES];

static struct timespec now(void)
{
	return zr_clock_now(fake_time_clock(fake));
}

static void process_expiry(struct entry *entry)
{
	if (zr_time_cmp(now(), entry->expires_at) >= 0)
		entry->granted = 0;
	if (zr_time_cmp(now(), entry->busy_until) >= 0)
		entry->in_use = 0;
}

static uint32_t held_slots_of(const struct entry *entry)
{
	return entry->granted > entry->in_use ? entry->granted : entry->in_use;
}

static void use_slots(struct entry *entry)
{
	if (entry->in_use >= entry->granted)
		return;
	entry->in_use = entry->granted;
	entry->busy_until =
		zr_time_add_ms(now(), rand() % ZR_GRANT_REQUEST_MS_MAX);
}

static void request_as(struct entry *entry, unsigned int index)
{
	struct timespec requested_at = now();
	uint32_t slots = 0;
	char name[16];

	snprintf(name, sizeof(name), "e%u", index);
	ck_assert_int_eq(request(&slots, name, entry->incarnation,
				 ++entry->sequence, held_slots_of(entry),
				 (uint32_t)rand() % 20),
			 0);
	if (rand() % 5 == 0)
		return; /* the result is lost */
	entry->granted = slots;
	entry->expires_at = zr_time_add_ms(requested_at, ZR_GRANT_LEASE_MS);
}

/* Starts a new incarnation. Requests of the old one still occupy slots. */
static void restart(struct entry *entry, struct entry *old_entry)
{
	*old_entry = *entry;
	old_entry->granted = 0;
	entry->incarnation++;
	entry->sequence = 0;
	entry->granted = 0;
	entry->in_use = 0;
}

START_TEST(test_slots_in_use_never_exceed_capacity)
{
	struct entry old_entries[ENTRIES] = {0};
	uint32_t in_use;
	unsigned int max_in_use = 0;
	unsigned int i;
	unsigned int round;

	srand(7);
	memset(entries, 0, sizeof(entries));
	for (round = 0; round < ROUNDS; round++) {
		fake_time_advance(fake, (unsigned int)rand() % STEP_MS_MAX);
		for (in_use = 0, i = 0; i < ENTRIES; i++) {
			process_expiry(&entries[i]);
			process_expiry(&old_entries[i]);
		}
		i = (unsigned int)rand() % ENTRIES;
		if (rand() % 300 == 0)
			zr_slot_escrow_begin_term(escrow, true);
		else if (rand() % 200 == 0 && !old_entries[i].in_use)
			restart(&entries[i], &old_entries[i]);
		else if (rand() % 3)
			request_as(&entries[i], i);
		else
			use_slots(&entries[i]);
		for (i = 0; i < ENTRIES; i++)
			in_use += entries[i].in_use + old_entries[i].in_use;
		ck_assert_uint_le(in_use, SLOTS);
		if (in_use > max_in_use)
			max_in_use = in_use;
	}
	/* All slots were in use at times, so the check above was effective. */
	ck_assert_uint_eq(max_in_use, SLOTS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("slot_escrow");
	TCase *tests = tcase_create("escrow");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, set_up, tear_down);
	tcase_add_test(tests, test_delayed_request_is_refused);
	tcase_add_test(tests, test_new_incarnation_gets_slots_after_expiry);
	tcase_add_test(tests, test_holder_must_return_slots_for_another);
	tcase_add_test(tests, test_slots_in_use_never_exceed_capacity);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

/*
 * The escrow of slots: what a worker has is never granted twice, whatever
 * asks and answers are lost, repeated or overtaken.
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

static void setup(void)
{
	fake = fake_time_new();
	ck_assert_int_eq(zr_slot_escrow_new(&escrow, fake_time_clock(fake)), 0);
	zr_slot_escrow_begin(escrow, false);
}

static void teardown(void)
{
	zr_slot_escrow_free(escrow);
	fake_time_free(fake);
}

static int ask(uint32_t *out_slots, const char *entry, uint64_t incarnation,
	       uint64_t sequence, uint32_t held_slots, uint32_t wanted)
{
	const struct zr_slot_held held = {"w1", held_slots};
	const struct zr_slot_demand demand = {"faces", wanted};
	const struct zr_slot_ask message = {
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
	int error = zr_slot_escrow_ask(&holder, escrow, &message);

	zr_slot_escrow_worker(escrow, "w1", SLOTS);
	if (!error)
		*out_slots =
			zr_slot_escrow_grant(escrow, holder, "w1", services, 1);
	return error;
}

START_TEST(test_overtaken_ask_is_refused)
{
	uint32_t slots = 0;

	ck_assert_int_eq(ask(&slots, "e1", 1, 2, 0, 0), 0);
	ck_assert_uint_eq(slots, SLOTS);
	/* An ask from before that grant holds nothing: it must not count. */
	ck_assert_int_eq(ask(&slots, "e1", 1, 1, 0, 0), ZR_E_CONFLICT);
	ck_assert_uint_eq(zr_slot_escrow_counted(escrow, "w1"), SLOTS);
}
END_TEST

START_TEST(test_new_run_holds_nothing_of_the_old)
{
	uint32_t slots = 0;

	ck_assert_int_eq(ask(&slots, "e1", 1, 5, 0, 0), 0);
	ck_assert_uint_eq(slots, SLOTS);
	ck_assert_int_eq(ask(&slots, "e1", 2, 1, 0, 0), 0);
	ck_assert_uint_eq(slots, 0);
	ck_assert_uint_eq(zr_slot_escrow_counted(escrow, "w1"), SLOTS);
	fake_time_advance(fake, ZR_GRANT_HOLD_MS + 1);
	ck_assert_int_eq(ask(&slots, "e1", 2, 2, 0, 0), 0);
	ck_assert_uint_eq(slots, SLOTS);
}
END_TEST

START_TEST(test_fewer_slots_are_asked_back)
{
	uint32_t slots = 0;

	ck_assert_int_eq(ask(&slots, "e1", 1, 1, 0, 9), 0);
	ck_assert_int_eq(ask(&slots, "e2", 1, 1, 0, 9), 0);
	ck_assert_uint_eq(slots, 0);
	ck_assert_int_eq(ask(&slots, "e1", 1, 2, SLOTS, 9), 0);
	ck_assert_uint_eq(slots, SLOTS / 2);
	ck_assert_uint_eq(zr_slot_escrow_counted(escrow, "w1"), SLOTS);
}
END_TEST

/* An entry daemon as the worker sees it. */
struct model {
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t limit;
	uint32_t in_use;
	struct timespec expires;
	struct timespec busy_until;
};

static struct model models[ENTRIES];

static struct timespec now(void)
{
	return zr_clock_now(fake_time_clock(fake));
}

static void settle(struct model *model)
{
	if (zr_time_cmp(now(), model->expires) >= 0)
		model->limit = 0;
	if (zr_time_cmp(now(), model->busy_until) >= 0)
		model->in_use = 0;
}

static uint32_t held(const struct model *model)
{
	return model->limit > model->in_use ? model->limit : model->in_use;
}

static void work(struct model *model)
{
	if (model->in_use >= model->limit)
		return;
	model->in_use = model->limit;
	model->busy_until =
		zr_time_add_ms(now(), rand() % ZR_GRANT_REQUEST_MS_MAX);
}

static void ask_as(struct model *model, unsigned int index)
{
	struct timespec asked = now();
	uint32_t slots = 0;
	char name[16];

	snprintf(name, sizeof(name), "e%u", index);
	ck_assert_int_eq(ask(&slots, name, model->incarnation,
			     ++model->sequence, held(model),
			     (uint32_t)rand() % 20),
			 0);
	if (rand() % 5 == 0)
		return; /* the answer is lost */
	model->limit = slots;
	model->expires = zr_time_add_ms(asked, ZR_GRANT_LEASE_MS);
}

/* Old runs whose work goes on at the worker are part of the sum. */
static void restart(struct model *model, struct model *ghost)
{
	*ghost = *model;
	ghost->limit = 0;
	model->incarnation++;
	model->sequence = 0;
	model->limit = 0;
	model->in_use = 0;
}

START_TEST(test_worker_is_never_overfull)
{
	struct model ghosts[ENTRIES] = {0};
	uint32_t sum;
	unsigned int most = 0;
	unsigned int i;
	unsigned int round;

	srand(7);
	memset(models, 0, sizeof(models));
	for (round = 0; round < ROUNDS; round++) {
		fake_time_advance(fake, (unsigned int)rand() % STEP_MS_MAX);
		for (sum = 0, i = 0; i < ENTRIES; i++) {
			settle(&models[i]);
			settle(&ghosts[i]);
		}
		i = (unsigned int)rand() % ENTRIES;
		if (rand() % 300 == 0)
			zr_slot_escrow_begin(escrow, true);
		else if (rand() % 200 == 0 && !ghosts[i].in_use)
			restart(&models[i], &ghosts[i]);
		else if (rand() % 3)
			ask_as(&models[i], i);
		else
			work(&models[i]);
		for (i = 0; i < ENTRIES; i++)
			sum += models[i].in_use + ghosts[i].in_use;
		ck_assert_uint_le(sum, SLOTS);
		if (sum > most)
			most = sum;
	}
	/* The bound was reached, so the check above could have failed. */
	ck_assert_uint_eq(most, SLOTS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("grants");
	TCase *tests = tcase_create("escrow");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, test_overtaken_ask_is_refused);
	tcase_add_test(tests, test_new_run_holds_nothing_of_the_old);
	tcase_add_test(tests, test_fewer_slots_are_asked_back);
	tcase_add_test(tests, test_worker_is_never_overfull);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

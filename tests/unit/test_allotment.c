#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "domain/allotment.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "zinniarack/errors.h"

#define DOMAINS 3
#define LIMIT 9000
#define LOWERED 3000
#define STEP_MS 50
#define PATIENCE_MS 20000

static const char *const names[DOMAINS] = {"sapporo", "asahikawa", "hakodate"};

/* A domain whose usage follows its demand, within what is in force. */
struct domain {
	struct fake_node *node;
	struct zr_store store;
	struct zr_allotments *allotments;
	uint32_t in_force;
	uint32_t used;
	uint32_t demand;
	bool ready;
};

static struct fake_net *net;
static struct fake_store *store;
static struct domain domains[DOMAINS];
static struct zr_config_team team = {.name = "photos", .limit = {LIMIT, 0, 0}};
static struct zr_config config = {.teams = &team, .teams_count = 1};

static void on_usage(void *ctx, const char *name, struct zr_resources *used,
		     struct zr_resources *demand)
{
	const struct domain *domain = ctx;

	(void)name;
	memset(used, 0, sizeof(*used));
	used->millicpus = domain->used;
	*demand = *used;
	demand->millicpus = domain->demand;
}

static void on_set(void *ctx, const char *name,
		   const struct zr_resources *allotment)
{
	struct domain *domain = ctx;

	(void)name;
	domain->in_force = allotment->millicpus;
}

static void on_ready(void *ctx)
{
	struct domain *domain = ctx;

	domain->ready = true;
}

static void add_domain(struct domain *domain, const char *name)
{
	struct zr_allotments_options options = {
		.version = ZR_ALLOTMENTS_OPTIONS_VERSION,
		.domain = name,
		.events = {on_usage, on_set, on_ready},
		.ctx = domain,
	};

	memset(domain, 0, sizeof(*domain));
	domain->in_force = LIMIT; /* without an allotment the core sets none */
	domain->node = fake_node_new(net, name);
	fake_store_client(&domain->store, store, domain->node);
	options.timers = fake_time_timers(fake_node_time(domain->node));
	options.store = &domain->store;
	ck_assert_int_eq(zr_allotments_new(&domain->allotments, &options), 0);
	zr_allotments_set_domain_count(domain->allotments, DOMAINS);
	zr_allotments_configure(domain->allotments, &config);
	zr_allotments_begin(domain->allotments);
}

static void set_up(void)
{
	int i;

	team.limit.millicpus = LIMIT;
	net = fake_net_new();
	store = fake_store_new(net, "store");
	for (i = 0; i < DOMAINS; i++)
		add_domain(&domains[i], names[i]);
}

static void tear_down(void)
{
	int i;

	for (i = 0; i < DOMAINS; i++) {
		zr_allotments_free(domains[i].allotments);
		zr_store_free(&domains[i].store);
	}
	fake_store_free(store);
	fake_net_free(net);
}

static uint32_t sum_in_force(void)
{
	uint32_t sum = 0;
	int i;

	for (i = 0; i < DOMAINS; i++)
		sum += domains[i].in_force > 1 ? domains[i].in_force : 0;
	return sum;
}

static void use(struct domain *domain)
{
	uint32_t most = domain->in_force > 1 ? domain->in_force : 0;

	if (domain->used < domain->demand)
		domain->used = domain->demand < most ? domain->demand : most;
	if (domain->used > domain->demand)
		domain->used = domain->demand;
}

/* Lets time pass; the sum in force must never be over the limit. */
static void run(unsigned int ms, uint32_t limit)
{
	unsigned int passed;
	int i;

	for (passed = 0; passed < ms; passed += STEP_MS) {
		fake_net_advance(net, STEP_MS);
		ck_assert_uint_le(sum_in_force(), limit);
		for (i = 0; i < DOMAINS; i++)
			use(&domains[i]);
	}
}

START_TEST(test_nothing_is_in_force_before_the_record_is_read)
{
	int i;

	for (i = 0; i < DOMAINS; i++)
		domains[i].demand = LIMIT;
	fake_net_set_link(net, NULL, "store", FAKE_LINK_HOLD);
	run(500, 0);
	fake_net_set_link(net, NULL, "store", FAKE_LINK_PASS);
	run(PATIENCE_MS, LIMIT);
	ck_assert_uint_ge(sum_in_force(), LIMIT / 2);
}
END_TEST

START_TEST(test_allotments_follow_the_demand)
{
	domains[0].demand = LIMIT;
	run(PATIENCE_MS, LIMIT);
	ck_assert_uint_ge(domains[0].used, LIMIT * 3 / 4);
	domains[0].demand = 0;
	domains[2].demand = LIMIT;
	run(PATIENCE_MS, LIMIT);
	ck_assert_uint_ge(domains[2].used, LIMIT * 3 / 4);
}
END_TEST

START_TEST(test_all_that_want_come_near_an_even_share)
{
	int i;

	domains[0].demand = LIMIT;
	run(PATIENCE_MS, LIMIT);
	for (i = 0; i < DOMAINS; i++)
		domains[i].demand = LIMIT;
	/* Work that ends makes room. */
	for (i = 0; i < 60 * DOMAINS; i++) {
		struct domain *domain = &domains[i % DOMAINS];

		domain->used -= domain->used / 4;
		zr_allotments_task_ended(domain->allotments, team.name);
		run(700, LIMIT);
	}
	for (i = 0; i < DOMAINS; i++)
		ck_assert_uint_ge(domains[i].in_force, LIMIT / DOMAINS / 2);
}
END_TEST

START_TEST(test_a_lowered_limit_takes_from_each)
{
	int i;

	for (i = 0; i < DOMAINS; i++)
		domains[i].demand = LIMIT;
	run(PATIENCE_MS, LIMIT);
	team.limit.millicpus = LOWERED;
	for (i = 0; i < DOMAINS; i++)
		domains[i].demand = LOWERED / DOMAINS / 2;
	run(PATIENCE_MS, LIMIT);
	run(PATIENCE_MS, LOWERED);
}
END_TEST

START_TEST(test_a_cut_off_domain_keeps_its_allotment)
{
	uint32_t before;

	domains[0].demand = LIMIT / 3;
	domains[1].demand = LIMIT / 3;
	run(PATIENCE_MS, LIMIT);
	before = domains[0].in_force;
	fake_net_set_link(net, names[0], "store", FAKE_LINK_REFUSE);
	domains[1].demand = LIMIT;
	run(PATIENCE_MS, LIMIT);
	ck_assert_uint_eq(domains[0].in_force, before);
	ck_assert_uint_le(domains[1].in_force, LIMIT - before);
}
END_TEST

static int recovered;

static void on_recovered(void *ctx, int error)
{
	(void)ctx;
	recovered = error;
}

START_TEST(test_an_operator_recovers_what_a_lost_domain_held)
{
	domains[0].demand = LIMIT;
	run(PATIENCE_MS, LIMIT);
	zr_allotments_end(domains[0].allotments);
	domains[0].in_force = 0;
	domains[0].used = 0;
	domains[1].demand = LIMIT;
	run(PATIENCE_MS, LIMIT);
	ck_assert_uint_le(domains[1].used, LIMIT / 2);
	recovered = 1;
	zr_allotments_reclaim(&domains[1].store, names[0], on_recovered, NULL);
	run(PATIENCE_MS, LIMIT);
	ck_assert_int_eq(recovered, 0);
	ck_assert_uint_ge(domains[1].used, LIMIT / 2);
	zr_allotments_reclaim(&domains[1].store, names[0], on_recovered, NULL);
	run(STEP_MS, LIMIT);
	ck_assert_int_eq(recovered, ZR_E_NOT_FOUND);
}
END_TEST

/* Lets time pass until all domains have read the record. */
static void await_read(void)
{
	unsigned long reads = fake_store_counts(store)->reads[ZR_STORE_OTHER];

	while (fake_store_counts(store)->reads[ZR_STORE_OTHER] == reads)
		fake_net_advance(net, 1);
}

/* A domain gives; its write is held, and lands when it wants all back. */
START_TEST(test_a_late_write_gives_nothing_that_is_in_force)
{
	domains[0].demand = LIMIT;
	run(PATIENCE_MS, LIMIT);
	domains[0].demand = 0;
	use(&domains[0]);
	await_read();
	fake_net_set_link(net, names[0], "store", FAKE_LINK_HOLD);
	run(1500, LIMIT);
	domains[0].demand = LIMIT;
	use(&domains[0]);
	fake_net_set_link(net, names[0], "store", FAKE_LINK_PASS);
	await_read();
	fake_net_set_link(net, names[0], "store", FAKE_LINK_HOLD);
	fake_net_advance(net, 100);
	fake_net_release(net, names[0], NULL, false);
	domains[1].demand = LIMIT;
	run(PATIENCE_MS, LIMIT);
}
END_TEST

static void trouble(void)
{
	static const enum fake_link modes[] = {FAKE_LINK_PASS, FAKE_LINK_PASS,
					       FAKE_LINK_HOLD, FAKE_LINK_DROP,
					       FAKE_LINK_DUPLICATE};
	int at = rand() % DOMAINS;
	enum fake_link mode = modes[rand() % 5];

	domains[rand() % DOMAINS].demand = (uint32_t)(rand() % LIMIT);
	if (rand() % 2)
		fake_net_set_link(net, names[at], "store", mode);
	else
		fake_net_set_link(net, "store", names[at], mode);
	if (rand() % 3 == 0)
		fake_net_release(net, NULL, NULL, rand() % 2);
}

/* Writes are held, lost, doubled and arrive late; the sum stays in bounds. */
START_TEST(test_the_sum_holds_in_any_trouble)
{
	int step;

	srand((unsigned int)_i);
	for (step = 0; step < 150; step++) {
		trouble();
		run(700, LIMIT);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("allotment");
	TCase *tcase = tcase_create("allotment");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 120);
	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase,
		       test_nothing_is_in_force_before_the_record_is_read);
	tcase_add_test(tcase, test_allotments_follow_the_demand);
	tcase_add_test(tcase, test_all_that_want_come_near_an_even_share);
	tcase_add_test(tcase, test_a_lowered_limit_takes_from_each);
	tcase_add_test(tcase, test_a_cut_off_domain_keeps_its_allotment);
	tcase_add_test(tcase,
		       test_an_operator_recovers_what_a_lost_domain_held);
	tcase_add_test(tcase, test_a_late_write_gives_nothing_that_is_in_force);
	tcase_add_loop_test(tcase, test_the_sum_holds_in_any_trouble, 1, 21);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

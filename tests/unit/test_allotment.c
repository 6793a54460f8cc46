#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "domain/allotment.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "zinniarack/errors.h"

#define DOMAINS 3
#define LIMIT_MILLICPUS 9000
#define LOWERED_MILLICPUS 3000
#define STEP_MS 50
/* Long enough for the allotments to adapt to a new demand. */
#define SETTLE_MS 20000

static const char *const names[DOMAINS] = {"sapporo", "asahikawa", "hakodate"};

/* A domain that uses what it demands, up to its applied allotment. */
struct domain {
	struct fake_node *node;
	struct zr_store store;
	struct zr_allotments *allotments;
	uint32_t applied;
	uint32_t used;
	uint32_t demand;
	bool ready;
};

static struct fake_net *net;
static struct fake_store *store;
static struct domain domains[DOMAINS];
static struct zr_config_team team = {.name = "photos",
				     .limit = {LIMIT_MILLICPUS, 0, 0}};
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
	domain->applied = allotment->millicpus;
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
	/* The core applies the whole limit to a team without an allotment. */
	domain->applied = LIMIT_MILLICPUS;
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

	team.limit.millicpus = LIMIT_MILLICPUS;
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

/*
 * The sum of the applied allotments. An allotment of 0 is applied as a limit of
 * 1, since 0 means no limit to the core.
 */
static uint32_t sum_applied(void)
{
	uint32_t sum = 0;
	int i;

	for (i = 0; i < DOMAINS; i++)
		sum += domains[i].applied > 1 ? domains[i].applied : 0;
	return sum;
}

static void update_usage(struct domain *domain)
{
	uint32_t max = domain->applied > 1 ? domain->applied : 0;

	if (domain->used < domain->demand)
		domain->used = domain->demand < max ? domain->demand : max;
	if (domain->used > domain->demand)
		domain->used = domain->demand;
}

/* Advances the time; the applied allotments must never exceed @limit in sum. */
static void run(unsigned int ms, uint32_t limit)
{
	unsigned int passed;
	int i;

	for (passed = 0; passed < ms; passed += STEP_MS) {
		fake_net_advance(net, STEP_MS);
		ck_assert_uint_le(sum_applied(), limit);
		for (i = 0; i < DOMAINS; i++)
			update_usage(&domains[i]);
	}
}

START_TEST(test_nothing_is_applied_before_the_record_is_read)
{
	int i;

	for (i = 0; i < DOMAINS; i++)
		domains[i].demand = LIMIT_MILLICPUS;
	fake_net_set_link(net, NULL, "store", FAKE_LINK_HOLD);
	run(500, 0);
	fake_net_set_link(net, NULL, "store", FAKE_LINK_PASS);
	run(SETTLE_MS, LIMIT_MILLICPUS);
	ck_assert_uint_ge(sum_applied(), LIMIT_MILLICPUS / 2);
}
END_TEST

START_TEST(test_allotments_follow_the_demand)
{
	domains[0].demand = LIMIT_MILLICPUS;
	run(SETTLE_MS, LIMIT_MILLICPUS);
	ck_assert_uint_ge(domains[0].used, LIMIT_MILLICPUS * 3 / 4);
	domains[0].demand = 0;
	domains[2].demand = LIMIT_MILLICPUS;
	run(SETTLE_MS, LIMIT_MILLICPUS);
	ck_assert_uint_ge(domains[2].used, LIMIT_MILLICPUS * 3 / 4);
}
END_TEST

START_TEST(test_domains_with_demand_get_similar_allotments)
{
	int i;

	domains[0].demand = LIMIT_MILLICPUS;
	run(SETTLE_MS, LIMIT_MILLICPUS);
	for (i = 0; i < DOMAINS; i++)
		domains[i].demand = LIMIT_MILLICPUS;
	/* Ended tasks return resources, which can move to another domain. */
	for (i = 0; i < 60 * DOMAINS; i++) {
		struct domain *domain = &domains[i % DOMAINS];

		domain->used -= domain->used / 4;
		zr_allotments_task_ended(domain->allotments, team.name);
		run(700, LIMIT_MILLICPUS);
	}
	for (i = 0; i < DOMAINS; i++)
		ck_assert_uint_ge(domains[i].applied,
				  LIMIT_MILLICPUS / DOMAINS / 2);
}
END_TEST

START_TEST(test_lowered_limit_reduces_all_allotments)
{
	int i;

	for (i = 0; i < DOMAINS; i++)
		domains[i].demand = LIMIT_MILLICPUS;
	run(SETTLE_MS, LIMIT_MILLICPUS);
	team.limit.millicpus = LOWERED_MILLICPUS;
	for (i = 0; i < DOMAINS; i++)
		domains[i].demand = LOWERED_MILLICPUS / DOMAINS / 2;
	run(SETTLE_MS, LIMIT_MILLICPUS);
	run(SETTLE_MS, LOWERED_MILLICPUS);
}
END_TEST

START_TEST(test_disconnected_domain_keeps_its_allotment)
{
	uint32_t before;

	domains[0].demand = LIMIT_MILLICPUS / 3;
	domains[1].demand = LIMIT_MILLICPUS / 3;
	run(SETTLE_MS, LIMIT_MILLICPUS);
	before = domains[0].applied;
	fake_net_set_link(net, names[0], "store", FAKE_LINK_REFUSE);
	domains[1].demand = LIMIT_MILLICPUS;
	run(SETTLE_MS, LIMIT_MILLICPUS);
	ck_assert_uint_eq(domains[0].applied, before);
	ck_assert_uint_le(domains[1].applied, LIMIT_MILLICPUS - before);
}
END_TEST

static int reclaim_error;

static void on_reclaimed(void *ctx, int error)
{
	(void)ctx;
	reclaim_error = error;
}

START_TEST(test_allotment_of_a_lost_domain_is_reclaimed)
{
	domains[0].demand = LIMIT_MILLICPUS;
	run(SETTLE_MS, LIMIT_MILLICPUS);
	zr_allotments_end(domains[0].allotments);
	domains[0].applied = 0;
	domains[0].used = 0;
	domains[1].demand = LIMIT_MILLICPUS;
	run(SETTLE_MS, LIMIT_MILLICPUS);
	ck_assert_uint_le(domains[1].used, LIMIT_MILLICPUS / 2);
	reclaim_error = 1;
	zr_allotments_reclaim(&domains[1].store, names[0], on_reclaimed, NULL);
	run(SETTLE_MS, LIMIT_MILLICPUS);
	ck_assert_int_eq(reclaim_error, 0);
	ck_assert_uint_ge(domains[1].used, LIMIT_MILLICPUS / 2);
	zr_allotments_reclaim(&domains[1].store, names[0], on_reclaimed, NULL);
	run(STEP_MS, LIMIT_MILLICPUS);
	ck_assert_int_eq(reclaim_error, ZR_E_NOT_FOUND);
}
END_TEST

/* Advances the time until a domain has read the record. */
static void wait_for_read(void)
{
	unsigned long reads = fake_store_counts(store)->reads[ZR_STORE_OTHER];

	while (fake_store_counts(store)->reads[ZR_STORE_OTHER] == reads)
		fake_net_advance(net, 1);
}

/*
 * A domain gives resources back, and its write of the record is delayed. When
 * the write takes effect, the domain's demand has risen to the whole limit
 * again. The resources must not be applied by two domains.
 */
START_TEST(test_delayed_write_does_not_give_away_applied_resources)
{
	domains[0].demand = LIMIT_MILLICPUS;
	run(SETTLE_MS, LIMIT_MILLICPUS);
	domains[0].demand = 0;
	update_usage(&domains[0]);
	wait_for_read();
	fake_net_set_link(net, names[0], "store", FAKE_LINK_HOLD);
	run(1500, LIMIT_MILLICPUS);
	domains[0].demand = LIMIT_MILLICPUS;
	update_usage(&domains[0]);
	fake_net_set_link(net, names[0], "store", FAKE_LINK_PASS);
	wait_for_read();
	fake_net_set_link(net, names[0], "store", FAKE_LINK_HOLD);
	fake_net_advance(net, 100);
	fake_net_release(net, names[0], NULL, false);
	domains[1].demand = LIMIT_MILLICPUS;
	run(SETTLE_MS, LIMIT_MILLICPUS);
}
END_TEST

static void inject_fault(void)
{
	static const enum fake_link modes[] = {FAKE_LINK_PASS, FAKE_LINK_PASS,
					       FAKE_LINK_HOLD, FAKE_LINK_DROP,
					       FAKE_LINK_DUPLICATE};
	int faulty = rand() % DOMAINS;
	enum fake_link mode = modes[rand() % 5];

	domains[rand() % DOMAINS].demand = (uint32_t)(rand() % LIMIT_MILLICPUS);
	if (rand() % 2)
		fake_net_set_link(net, names[faulty], "store", mode);
	else
		fake_net_set_link(net, "store", names[faulty], mode);
	if (rand() % 3 == 0)
		fake_net_release(net, NULL, NULL, rand() % 2);
}

/* Writes and replies are delayed, lost, duplicated and reordered. */
START_TEST(test_sum_stays_within_the_limit_under_network_faults)
{
	int step;

	srand((unsigned int)_i);
	for (step = 0; step < 150; step++) {
		inject_fault();
		run(700, LIMIT_MILLICPUS);
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
		       test_nothing_is_applied_before_the_record_is_read);
	tcase_add_test(tcase, test_allotments_follow_the_demand);
	tcase_add_test(tcase, test_domains_with_demand_get_similar_allotments);
	tcase_add_test(tcase, test_lowered_limit_reduces_all_allotments);
	tcase_add_test(tcase, test_disconnected_domain_keeps_its_allotment);
	tcase_add_test(tcase, test_allotment_of_a_lost_domain_is_reclaimed);
	tcase_add_test(tcase,
		       test_delayed_write_does_not_give_away_applied_resources);
	tcase_add_loop_test(
		tcase, test_sum_stays_within_the_limit_under_network_faults, 1,
		21);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

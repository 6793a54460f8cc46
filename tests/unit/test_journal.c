#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "domain/journal_state.h"
#include "domain/journal.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "zinniarack/errors.h"

#define OWNER_KEY "zr/domain/sapporo/lead/owner"
#define PREFIX "zr/domain/sapporo/"
#define JOBS 3000
#define COMMAND_BYTES 400
/* So large that the snapshot of a group needs several parts. */
#define LARGE_BYTES 3000
#define LARGE_JOBS 6000
#define SETTLE_MS 60000
#define VALUE_BYTES_MAX 1000000u

static struct fake_net *net;
static struct fake_store *store;
static struct fake_node *node;
static struct zr_store client;
static struct zr_journal_state *expected;
static int64_t revision;
static unsigned int kept;
static unsigned int down;
static unsigned int told;
/* Answers to a load come last first. */
static bool reversed;

static void set_up(void)
{
	net = fake_net_new();
	store = fake_store_new(net, "store");
	node = fake_node_new(net, "a");
	fake_store_client(&client, store, node);
	ck_assert_int_eq(zr_journal_state_new(&expected, ZR_JOURNAL_SHARDS), 0);
	reversed = false;
	kept = 0;
	down = 0;
	told = 0;
}

static void tear_down(void)
{
	zr_store_free(&client);
	fake_store_free(store);
	fake_net_free(net);
	zr_journal_state_free(expected);
}

static void on_owner(void *ctx, int error, const struct zr_store_reply *reply)
{
	(void)ctx;
	ck_assert_int_eq(error, 0);
	revision = reply->revision;
}

static void on_loaded(void *ctx, int error)
{
	ck_assert_int_eq(error, 0);
	*(bool *)ctx = true;
}

static void count_record(void *ctx, const zx_record *record)
{
	(void)ctx;
	(void)record;
	told++;
}

/* Another owner: its journal is loaded when this returns. */
static struct zr_journal *take_over(uint64_t epoch, zr_journal_record_fn record,
				    bool *loaded)
{
	const struct zr_store_put put = {OWNER_KEY, "a", 1, 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};
	struct zr_journal_options options = {
		.version = ZR_JOURNAL_OPTIONS_VERSION,
		.store = &client,
		.domain = "sapporo",
		.owner_key = OWNER_KEY,
		.epoch = epoch,
	};
	struct zr_journal *journal;
	int i;

	zr_store_commit(&client, ZR_STORE_LEASE, &txn, on_owner, NULL);
	fake_net_advance(net, 5);
	options.owner_revision = revision;
	options.timers = fake_time_timers(fake_node_time(node));
	options.clock = fake_time_clock(fake_node_time(node));
	ck_assert_int_eq(zr_journal_new(&journal, &options), 0);
	*loaded = false;
	fake_net_set_link(net, "store", "a",
			  reversed ? FAKE_LINK_HOLD : FAKE_LINK_PASS);
	zr_journal_load(journal, record, on_loaded, loaded);
	for (i = 0; i < 4; i++) {
		fake_net_advance(net, 10);
		fake_net_release(net, "store", "a", true);
	}
	fake_net_set_link(net, "store", "a", FAKE_LINK_PASS);
	return journal;
}

/* Records */

struct pending {
	char *bytes;
	u_int length;
};

static void apply(struct zr_journal_state *image, const char *bytes,
		  u_int length)
{
	zx_record record;
	XDR xdrs;

	memset(&record, 0, sizeof(record));
	xdrmem_create(&xdrs, (char *)bytes, length, XDR_DECODE);
	ck_assert(xdr_zx_record(&xdrs, &record));
	zr_journal_state_apply(image, &record, bytes, length);
	xdr_free((xdrproc_t)xdr_zx_record, (void *)&record);
}

static void on_kept(void *ctx, int error)
{
	struct pending *pending = ctx;

	if (!error) {
		kept++;
		apply(expected, pending->bytes, pending->length);
	} else {
		ck_assert_int_eq(error, ZR_E_STORE_DOWN);
		down++;
	}
	free(pending->bytes);
	free(pending);
}

static void append(struct zr_journal *journal, enum zr_journal_retry_mode mode,
		   zx_record *record)
{
	struct pending *pending = calloc(1, sizeof(*pending));
	XDR xdrs;

	pending->length = (u_int)xdr_sizeof((xdrproc_t)xdr_zx_record, record);
	pending->bytes = malloc(pending->length);
	xdrmem_create(&xdrs, pending->bytes, pending->length, XDR_ENCODE);
	ck_assert(xdr_zx_record(&xdrs, record));
	ck_assert_int_eq(
		zr_journal_append(journal, mode, record, on_kept, pending), 0);
}

static void accept_sized(struct zr_journal *journal, uint64_t number,
			 size_t bytes)
{
	static char command[LARGE_BYTES + 1];
	zx_record record = {.kind = ZX_RECORD_ACCEPTED};
	zx_accepted *accepted = &record.zx_record_u.accepted;

	memset(command, 'x', bytes);
	command[bytes] = '\0';
	accepted->number = number;
	accepted->spec.name = "job";
	accepted->spec.team = "photos";
	accepted->spec.queue = "prints";
	accepted->spec.tasks = 1;
	accepted->spec.idempotency_key = "";
	accepted->spec.command = command;
	append(journal, ZR_JOURNAL_FAIL_FAST, &record);
}

static void accept_job(struct zr_journal *journal, uint64_t number)
{
	accept_sized(journal, number, COMMAND_BYTES);
}

static void end_sized(struct zr_journal *journal, uint64_t number, size_t bytes)
{
	char result[ZX_RESULT_MAX + 1] = "";
	zx_record record = {.kind = ZX_RECORD_TASK_ENDED};
	zx_task_ended *ended = &record.zx_record_u.task_ended;

	ended->number = number;
	ended->attempt = 1;
	memset(result, 'r', bytes);
	ended->result = result;
	append(journal, ZR_JOURNAL_RETRY, &record);
}

static void end_task(struct zr_journal *journal, uint64_t number)
{
	end_sized(journal, number, 8);
}

/* Comparing */

struct text {
	char *bytes;
	size_t length;
	size_t room;
};

static void add_bytes(void *ctx, const char *bytes, u_int length)
{
	struct text *text = ctx;

	if (text->length + length > text->room) {
		text->room = 2 * (text->length + length);
		text->bytes = realloc(text->bytes, text->room);
	}
	memcpy(text->bytes + text->length, bytes, length);
	text->length += length;
}

static struct zr_journal_state *found;

static void on_found(void *ctx, const zx_record *record)
{
	u_int length =
		(u_int)xdr_sizeof((xdrproc_t)xdr_zx_record, (void *)record);
	char *bytes = malloc(length);
	XDR xdrs;

	(void)ctx;
	xdrmem_create(&xdrs, bytes, length, XDR_ENCODE);
	ck_assert(xdr_zx_record(&xdrs, (zx_record *)record));
	zr_journal_state_apply(found, record, bytes, length);
	free(bytes);
}

static void check_found(void)
{
	struct text first = {0};
	struct text second = {0};

	zr_journal_state_for_each(expected, add_bytes, &first);
	zr_journal_state_for_each(found, add_bytes, &second);
	ck_assert_uint_eq(first.length, second.length);
	ck_assert_mem_eq(first.bytes, second.bytes, first.length);
	free(first.bytes);
	free(second.bytes);
}

/* The next owner finds just what was kept, whatever snapshots were written. */
static void check_take_over(uint64_t epoch)
{
	struct zr_journal *journal;
	bool loaded;

	ck_assert_int_eq(zr_journal_state_new(&found, ZR_JOURNAL_SHARDS), 0);
	journal = take_over(epoch, on_found, &loaded);
	ck_assert(loaded);
	check_found();
	zr_journal_free(journal);
	fake_net_advance(net, 5);
	zr_journal_state_free(found);
}

static void write_jobs(struct zr_journal *journal, uint64_t first)
{
	uint64_t i;

	for (i = 0; i < JOBS; i++) {
		accept_job(journal, first + i);
		if (i > 0)
			end_task(journal, first + i - 1);
		fake_net_advance(net, 13);
	}
}

START_TEST(test_snapshots_bound_the_log_and_lose_nothing)
{
	struct zr_journal *journal;
	bool loaded;

	journal = take_over(1, count_record, &loaded);
	ck_assert(loaded);
	write_jobs(journal, 1);
	fake_net_advance(net, SETTLE_MS);
	ck_assert_uint_eq(kept, 2 * JOBS - 1);
	zr_journal_free(journal);
	fake_net_advance(net, 5);
	/* The log holds at most what begins a round of snapshots. */
	ck_assert_uint_le(fake_store_size(store, PREFIX "log/"),
			  (1u << 20) + (256u << 10));
	ck_assert_uint_gt(fake_store_size(store, PREFIX "snapshot/"), 0);
	ck_assert_uint_lt(fake_store_counts(store)->largest, VALUE_BYTES_MAX);
	check_take_over(2);
	check_take_over(3);
}
END_TEST

static void trouble(void)
{
	static const enum fake_link modes[] = {
		FAKE_LINK_PASS, FAKE_LINK_PASS,	     FAKE_LINK_DROP,
		FAKE_LINK_HOLD, FAKE_LINK_DUPLICATE, FAKE_LINK_REFUSE};
	enum fake_link mode = modes[rand() % 6];

	if (rand() % 2)
		fake_net_set_link(net, "a", "store", mode);
	else
		fake_net_set_link(net, "store", "a", mode);
	if (rand() % 2)
		fake_net_release(net, NULL, NULL, rand() % 2);
}

/* Answers and requests are held, lost and doubled; owners change meanwhile. */
START_TEST(test_nothing_is_lost_in_any_trouble)
{
	struct zr_journal *journal;
	bool loaded;
	int i;

	srand((unsigned int)_i);
	journal = take_over(1, count_record, &loaded);
	for (i = 0; i < JOBS; i++) {
		accept_job(journal, (uint64_t)i + 1);
		end_task(journal, (uint64_t)(rand() % (i + 1)) + 1);
		if (i % 20 == 0)
			trouble();
		fake_net_advance(net, 17);
	}
	fake_net_set_link(net, NULL, NULL, FAKE_LINK_PASS);
	fake_net_release(net, NULL, NULL, false);
	fake_net_advance(net, SETTLE_MS);
	ck_assert_uint_eq(kept + down, 2ul * JOBS);
	ck_assert_uint_gt(fake_store_size(store, PREFIX "snapshot/"), 0);
	ck_assert(zr_journal_idle(journal));
	zr_journal_free(journal);
	check_take_over(2);
}
END_TEST

/* Records of a group are written while its parts are. */
START_TEST(test_a_snapshot_of_several_parts_is_whole)
{
	struct zr_journal *journal;
	bool loaded;
	int i;

	journal = take_over(1, count_record, &loaded);
	for (i = 0; i < LARGE_JOBS; i++) {
		accept_sized(journal, (uint64_t)i + 1, LARGE_BYTES);
		if (i > 100)
			end_sized(journal, (uint64_t)i - 99, ZX_RESULT_MAX);
		fake_net_advance(net, 25);
	}
	fake_net_advance(net, 1000);
	ck_assert_uint_gt(fake_store_size(store, PREFIX "part/"), 0);
	ck_assert_uint_lt(fake_store_counts(store)->largest, VALUE_BYTES_MAX);
	zr_journal_free(journal);
	fake_net_advance(net, 5);
	reversed = true;
	check_take_over(2);
}
END_TEST

START_TEST(test_the_rate_of_writes_is_bounded_and_chunks_grow)
{
	struct zr_journal *journal;
	unsigned long before;
	bool loaded;

	journal = take_over(1, count_record, &loaded);
	before = fake_store_counts(store)->writes[ZR_STORE_ACCEPT];
	write_jobs(journal, 1);
	fake_net_advance(net, 1000);
	/* 39 s and the burst at 18 a second, for 6,000 records. */
	ck_assert_uint_le(fake_store_counts(store)->writes[ZR_STORE_ACCEPT] -
				  before,
			  (13 * JOBS / 1000 + 1) * 18 + 10);
	ck_assert_uint_eq(kept, 2 * JOBS - 1);
	zr_journal_free(journal);
	fake_net_advance(net, 5);
}
END_TEST

START_TEST(test_a_down_store_refuses_what_can_be_refused)
{
	struct zr_journal *journal;
	bool loaded;
	int i;

	journal = take_over(1, count_record, &loaded);
	accept_job(journal, 1);
	fake_net_advance(net, 50);
	fake_net_set_link(net, "a", "store", FAKE_LINK_REFUSE);
	end_task(journal, 1);
	for (i = 0; i < 5; i++)
		accept_job(journal, (uint64_t)i + 2);
	fake_net_advance(net, 10000);
	ck_assert_uint_eq(down, 5);
	ck_assert_uint_eq(kept, 1);
	fake_net_set_link(net, "a", "store", FAKE_LINK_PASS);
	fake_net_advance(net, 6000);
	ck_assert_uint_eq(kept, 2);
	zr_journal_free(journal);
	check_take_over(2);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("journal");
	TCase *tcase = tcase_create("journal");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 120);
	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_snapshots_bound_the_log_and_lose_nothing);
	tcase_add_loop_test(tcase, test_nothing_is_lost_in_any_trouble, 1, 9);
	tcase_add_test(tcase, test_a_snapshot_of_several_parts_is_whole);
	tcase_add_test(tcase,
		       test_the_rate_of_writes_is_bounded_and_chunks_grow);
	tcase_add_test(tcase, test_a_down_store_refuses_what_can_be_refused);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

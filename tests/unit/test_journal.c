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
/* So large that the snapshot of a shard is written in several parts. */
#define LARGE_BYTES 3000
#define LARGE_JOBS 6000
/* Long enough to end all retries and snapshots. */
#define SETTLE_MS 60000
/* Maximum size of a value in the store. */
#define VALUE_BYTES_MAX 1000000u

static struct fake_net *net;
static struct fake_store *store;
static struct fake_node *node;
static struct zr_store client;
static struct zr_journal_state *expected; /* from all committed records */
static int64_t owner_revision;
static unsigned int committed;
static unsigned int refused;
static unsigned int loaded_records;
/* The replies to the reads of a load arrive in reverse order. */
static bool replies_reversed;

static void set_up(void)
{
	net = fake_net_new();
	store = fake_store_new(net, "store");
	node = fake_node_new(net, "a");
	fake_store_client(&client, store, node);
	ck_assert_int_eq(zr_journal_state_new(&expected, ZR_JOURNAL_SHARDS), 0);
	replies_reversed = false;
	committed = 0;
	refused = 0;
	loaded_records = 0;
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
	owner_revision = reply->revision;
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
	loaded_records++;
}

/* Starts a new term of ownership and loads its journal. */
static struct zr_journal *start_term(uint64_t epoch,
				     zr_journal_record_fn record, bool *loaded)
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
	options.owner_revision = owner_revision;
	options.timers = fake_time_timers(fake_node_time(node));
	options.clock = fake_time_clock(fake_node_time(node));
	ck_assert_int_eq(zr_journal_new(&journal, &options), 0);
	*loaded = false;
	fake_net_set_link(net, "store", "a",
			  replies_reversed ? FAKE_LINK_HOLD : FAKE_LINK_PASS);
	zr_journal_load(journal, record, on_loaded, loaded);
	for (i = 0; i < 4; i++) {
		fake_net_advance(net, 10);
		fake_net_release(net, "store", "a", true);
	}
	fake_net_set_link(net, "store", "a", FAKE_LINK_PASS);
	return journal;
}

/* Records */

struct pending_append {
	char *bytes;
	u_int length;
};

static void apply(struct zr_journal_state *state, const char *bytes,
		  u_int length)
{
	zx_record record;
	XDR xdrs;

	memset(&record, 0, sizeof(record));
	xdrmem_create(&xdrs, (char *)bytes, length, XDR_DECODE);
	ck_assert(xdr_zx_record(&xdrs, &record));
	zr_journal_state_apply(state, &record, bytes, length);
	xdr_free((xdrproc_t)xdr_zx_record, (void *)&record);
}

static void on_appended(void *ctx, int error)
{
	struct pending_append *pending = ctx;

	if (!error) {
		committed++;
		apply(expected, pending->bytes, pending->length);
	} else {
		ck_assert_int_eq(error, ZR_E_STORE_DOWN);
		refused++;
	}
	free(pending->bytes);
	free(pending);
}

static void append(struct zr_journal *journal, enum zr_journal_retry_mode mode,
		   zx_record *record)
{
	struct pending_append *pending = calloc(1, sizeof(*pending));
	XDR xdrs;

	pending->length = (u_int)xdr_sizeof((xdrproc_t)xdr_zx_record, record);
	pending->bytes = malloc(pending->length);
	xdrmem_create(&xdrs, pending->bytes, pending->length, XDR_ENCODE);
	ck_assert(xdr_zx_record(&xdrs, record));
	ck_assert_int_eq(
		zr_journal_append(journal, mode, record, on_appended, pending),
		0);
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

/* Comparison of states */

struct byte_buffer {
	char *bytes;
	size_t length;
	size_t alloc;
};

static void add_bytes(void *ctx, const char *bytes, u_int length)
{
	struct byte_buffer *buffer = ctx;

	if (buffer->length + length > buffer->alloc) {
		buffer->alloc = 2 * (buffer->length + length);
		buffer->bytes = realloc(buffer->bytes, buffer->alloc);
	}
	memcpy(buffer->bytes + buffer->length, bytes, length);
	buffer->length += length;
}

static struct zr_journal_state *loaded_state;

static void on_loaded_record(void *ctx, const zx_record *record)
{
	u_int length =
		(u_int)xdr_sizeof((xdrproc_t)xdr_zx_record, (void *)record);
	char *bytes = malloc(length);
	XDR xdrs;

	(void)ctx;
	xdrmem_create(&xdrs, bytes, length, XDR_ENCODE);
	ck_assert(xdr_zx_record(&xdrs, (zx_record *)record));
	zr_journal_state_apply(loaded_state, record, bytes, length);
	free(bytes);
}

static void check_loaded_state(void)
{
	struct byte_buffer expected_bytes = {0};
	struct byte_buffer loaded_bytes = {0};

	zr_journal_state_for_each(expected, add_bytes, &expected_bytes);
	zr_journal_state_for_each(loaded_state, add_bytes, &loaded_bytes);
	ck_assert_uint_eq(expected_bytes.length, loaded_bytes.length);
	ck_assert_mem_eq(expected_bytes.bytes, loaded_bytes.bytes,
			 expected_bytes.length);
	free(expected_bytes.bytes);
	free(loaded_bytes.bytes);
}

/* Checks that a new owner loads all committed records and no others. */
static void check_takeover(uint64_t epoch)
{
	struct zr_journal *journal;
	bool loaded;

	ck_assert_int_eq(zr_journal_state_new(&loaded_state, ZR_JOURNAL_SHARDS),
			 0);
	journal = start_term(epoch, on_loaded_record, &loaded);
	ck_assert(loaded);
	check_loaded_state();
	zr_journal_free(journal);
	fake_net_advance(net, 5);
	zr_journal_state_free(loaded_state);
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

START_TEST(test_snapshots_bound_the_log_and_lose_no_record)
{
	struct zr_journal *journal;
	bool loaded;

	journal = start_term(1, count_record, &loaded);
	ck_assert(loaded);
	write_jobs(journal, 1);
	fake_net_advance(net, SETTLE_MS);
	ck_assert_uint_eq(committed, 2 * JOBS - 1);
	zr_journal_free(journal);
	fake_net_advance(net, 5);
	/* The size at which a round of snapshots starts, and one chunk. */
	ck_assert_uint_le(fake_store_size(store, PREFIX "log/"),
			  (1u << 20) + (256u << 10));
	ck_assert_uint_gt(fake_store_size(store, PREFIX "snapshot/"), 0);
	ck_assert_uint_lt(fake_store_counts(store)->largest, VALUE_BYTES_MAX);
	check_takeover(2);
	check_takeover(3);
}
END_TEST

static void inject_fault(void)
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

/*
 * Requests and replies of the store are delayed, lost and duplicated. The next
 * owner must still load exactly the committed records.
 */
START_TEST(test_no_record_is_lost_under_network_faults)
{
	struct zr_journal *journal;
	bool loaded;
	int i;

	srand((unsigned int)_i);
	journal = start_term(1, count_record, &loaded);
	for (i = 0; i < JOBS; i++) {
		accept_job(journal, (uint64_t)i + 1);
		end_task(journal, (uint64_t)(rand() % (i + 1)) + 1);
		if (i % 20 == 0)
			inject_fault();
		fake_net_advance(net, 17);
	}
	fake_net_set_link(net, NULL, NULL, FAKE_LINK_PASS);
	fake_net_release(net, NULL, NULL, false);
	fake_net_advance(net, SETTLE_MS);
	ck_assert_uint_eq(committed + refused, 2ul * JOBS);
	ck_assert_uint_gt(fake_store_size(store, PREFIX "snapshot/"), 0);
	ck_assert(zr_journal_idle(journal));
	zr_journal_free(journal);
	check_takeover(2);
}
END_TEST

/*
 * Records of a shard are appended while the parts of its snapshot are written,
 * and the parts are loaded in reverse order.
 */
START_TEST(test_snapshot_of_several_parts_is_complete)
{
	struct zr_journal *journal;
	bool loaded;
	int i;

	journal = start_term(1, count_record, &loaded);
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
	replies_reversed = true;
	check_takeover(2);
}
END_TEST

START_TEST(test_write_rate_is_bounded_and_chunks_grow)
{
	struct zr_journal *journal;
	unsigned long before;
	bool loaded;

	journal = start_term(1, count_record, &loaded);
	before = fake_store_counts(store)->writes[ZR_STORE_ACCEPT];
	write_jobs(journal, 1);
	fake_net_advance(net, 1000);
	/* 6,000 records in 39 s, at 18 writes per second and a burst of 10. */
	ck_assert_uint_le(fake_store_counts(store)->writes[ZR_STORE_ACCEPT] -
				  before,
			  (13 * JOBS / 1000 + 1) * 18 + 10);
	ck_assert_uint_eq(committed, 2 * JOBS - 1);
	zr_journal_free(journal);
	fake_net_advance(net, 5);
}
END_TEST

START_TEST(test_unreachable_store_refuses_fail_fast_records)
{
	struct zr_journal *journal;
	bool loaded;
	int i;

	journal = start_term(1, count_record, &loaded);
	accept_job(journal, 1);
	fake_net_advance(net, 50);
	fake_net_set_link(net, "a", "store", FAKE_LINK_REFUSE);
	end_task(journal, 1);
	for (i = 0; i < 5; i++)
		accept_job(journal, (uint64_t)i + 2);
	fake_net_advance(net, 10000);
	ck_assert_uint_eq(refused, 5);
	ck_assert_uint_eq(committed, 1);
	fake_net_set_link(net, "a", "store", FAKE_LINK_PASS);
	fake_net_advance(net, 6000);
	ck_assert_uint_eq(committed, 2);
	zr_journal_free(journal);
	check_takeover(2);
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
	tcase_add_test(tcase, test_snapshots_bound_the_log_and_lose_no_record);
	tcase_add_loop_test(tcase, test_no_record_is_lost_under_network_faults,
			    1, 9);
	tcase_add_test(tcase, test_snapshot_of_several_parts_is_complete);
	tcase_add_test(tcase, test_write_rate_is_bounded_and_chunks_grow);
	tcase_add_test(tcase, test_unreachable_store_refuses_fail_fast_records);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

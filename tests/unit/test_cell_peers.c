#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "cell/peers.h"
#include "cell/records.h"
#include "fakes/fake_store.h"
#include "fakes/raw_tcp.h"
#include "zinniarack/errors.h"

/* Time in which a host that is gone is forgotten: 8 reads, one each 4 s. */
#define FORGOTTEN_MS 40000
/* Time until the next read of the registrations. */
#define READ_MS 5000

static struct fake_net *net;
static struct zr_cell_platform platform;
static struct zr_store operator_store;
static struct zr_cell_peers *peers;
static uv_loop_t *loop;
static char own_address[32];

/* The list of proxies that was reported last, as the scheduler keeps it. */
static struct zr_cell_adviser_proxy proxies[8];
static size_t proxy_count;

static void on_proxies_changed(void *ctx,
			       const struct zr_cell_adviser_proxy *changed,
			       size_t count)
{
	(void)ctx;
	ck_assert_uint_le(count, sizeof(proxies) / sizeof(*proxies));
	if (count)
		memcpy(proxies, changed, count * sizeof(*proxies));
	proxy_count = count;
}

static unsigned int ended_queries;
static size_t permit_count; /* of the last answer */
static size_t ticket_bytes; /* of its first permit */

static void on_advised(void *ctx, int error,
		       const struct zr_cell_permit *permits, size_t count,
		       uint32_t validity_ms)
{
	(void)ctx;
	(void)error;
	(void)validity_ms;
	ended_queries++;
	permit_count = count;
	ticket_bytes = count ? strlen(permits[0].ticket) : 0;
}

/* What the adviser permits; none: it cannot be reached. */
static struct zr_cell_permit adviser_permits[2];
static size_t adviser_permit_count;

static void advise(void *ctx, const char *job, uint32_t occurrence,
		   uint32_t step, const char *const *workers, size_t count,
		   unsigned int timeout_ms, zr_cell_advise_fn done,
		   void *done_ctx)
{
	(void)ctx;
	(void)job;
	(void)occurrence;
	(void)step;
	(void)workers;
	(void)count;
	(void)timeout_ms;
	if (adviser_permit_count)
		done(done_ctx, 0, adviser_permits, adviser_permit_count, 900);
	else
		done(done_ctx, ZR_E_UNREACHABLE, NULL, 0, 0);
}

/* Queries the adviser through all proxies of the list, as an owner does. */
static void query_all(void)
{
	size_t i;

	for (i = 0; i < proxy_count; i++)
		proxies[i].query(proxies[i].ctx, "0123456789abcdef", 0, 0, NULL,
				 0, 100, on_advised, NULL);
}

static void on_written(void *ctx, int error, const struct zr_store_reply *reply)
{
	(void)ctx;
	(void)reply;
	ck_assert_int_eq(error, 0);
}

/* Writes the registration of a host, or removes it if @value is NULL. */
static void set_registration(const char *host, const char *value)
{
	char key[ZR_CELL_KEY_MAX];
	const struct zr_store_put put = {key, value, value ? strlen(value) : 0,
					 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};

	snprintf(key, sizeof(key), ZR_CELL_HOST_PREFIX "%s", host);
	zr_store_commit(&operator_store, ZR_STORE_OTHER, &txn, on_written,
			NULL);
}

static void advance(long ms)
{
	fake_net_advance(net, ms);
	uv_run(loop, UV_RUN_NOWAIT);
}

static void set_up(void)
{
	static const struct zr_cell_peers_events events = {NULL, NULL, NULL};
	const char *base = getenv("ZR_PORT");
	struct fake_store *store;
	struct fake_node *host;

	snprintf(own_address, sizeof(own_address), "127.0.0.1:%d",
		 (base ? atoi(base) : 27000) + 960);
	loop = uv_loop_new();
	net = fake_net_new();
	store = fake_store_new(net, "store");
	host = fake_node_new(net, "a");
	fake_store_client(&operator_store, store, fake_node_new(net, "op"));
	fake_store_client(&platform.store, store, host);
	platform.advise = advise;
	proxy_count = 0;
	ended_queries = 0;
	ck_assert_int_eq(
		zr_cell_peers_new(
			&peers, loop, fake_time_timers(fake_node_time(host)),
			fake_time_clock(fake_node_time(host)), &platform, "a",
			own_address, 0.25, on_proxies_changed, &events, NULL),
		0);
	set_registration("b", "127.0.0.1:9 250");
	set_registration("c", "127.0.0.1:9 500");
	advance(READ_MS);
}

START_TEST(test_proxies)
{
	ck_assert_uint_eq(proxy_count, 0);
	zr_cell_peers_set_active(peers, true);
	advance(READ_MS);
	ck_assert_uint_eq(proxy_count, 3);
	ck_assert_str_eq(proxies[0].name, "a");
	ck_assert_uint_eq(zr_cell_peers_largest(peers), 500);
	set_registration("c", NULL);
	advance(READ_MS);
	ck_assert_uint_eq(proxy_count, 2);
	advance(FORGOTTEN_MS);
	query_all();
	ck_assert_uint_gt(ended_queries, 0);
}
END_TEST

/*
 * Regression: a host that owned the cell again after another one had left for
 * good sent queries through the freed connection to it.
 */
/*
 * Guards against tickets that are cut on the way through another host: they
 * pass whole, and one that is too long does not fail the others.
 */
START_TEST(test_long_tickets)
{
	static char ticket[ZR_CELL_TICKET_MAX];
	static char too_long[ZR_CELL_TICKET_MAX + 1];
	char value[64];
	int i;

	memset(ticket, 't', sizeof(ticket) - 1);
	memset(too_long, 't', sizeof(too_long) - 1);
	adviser_permits[0] = (struct zr_cell_permit){"w1", too_long};
	adviser_permits[1] = (struct zr_cell_permit){"w2", ticket};
	adviser_permit_count = 2;
	/* The other host is this one. */
	snprintf(value, sizeof(value), "%s 250", own_address);
	set_registration("b", value);
	set_registration("c", NULL);
	zr_cell_peers_set_active(peers, true);
	advance(READ_MS);
	for (i = 0; i < (int)proxy_count && strcmp(proxies[i].name, "b"); i++)
		;
	ck_assert_int_lt(i, (int)proxy_count);
	proxies[i].query(proxies[i].ctx, "0123456789abcdef", 0, 0, NULL, 0,
			 1000, on_advised, NULL);
	while (!ended_queries)
		uv_run(loop, UV_RUN_ONCE);
	adviser_permit_count = 0;
	ck_assert_uint_eq(permit_count, 1);
	ck_assert_uint_eq(ticket_bytes, ZR_CELL_TICKET_MAX - 1);
}
END_TEST

START_TEST(test_peer_removed_while_standing_by)
{
	zr_cell_peers_set_active(peers, true);
	advance(READ_MS);
	ck_assert_uint_eq(proxy_count, 3);
	zr_cell_peers_set_active(peers, false);
	set_registration("b", NULL);
	set_registration("c", NULL);
	advance(FORGOTTEN_MS);
	/* The scheduler may be active before it has a new list. */
	query_all();
	ck_assert_uint_eq(proxy_count, 0);
	zr_cell_peers_set_active(peers, true);
	ck_assert_uint_eq(proxy_count, 1);
	query_all();
}
END_TEST

/* What is no registration of a host is ignored; the others hold. */
START_TEST(test_odd_registrations)
{
	char name[3 * ZR_NAME_MAX] = "";

	memset(name, 'n', sizeof(name) - 1);
	name[ZR_NAME_MAX] = '\0';
	set_registration(name, "127.0.0.1:9 900");
	set_registration("d", "127.0.0.1:9 99999999999999999999");
	set_registration("e", "127.0.0.1:9 -5");
	set_registration("f", "127.0.0.1:99999 800");
	set_registration("g", "");
	zr_cell_peers_set_active(peers, true);
	advance(2L * READ_MS);
	ck_assert_uint_eq(proxy_count, 3);
	ck_assert_uint_eq(zr_cell_peers_largest_registered(peers), 500);
}
END_TEST

/* Timeout of a relayed call, in milliseconds. */
#define RELAY_MS 500

static unsigned int ended_relays;
static int last_relay_error;

static void on_relayed(void *ctx, int error, const zx_cell_store_result *result)
{
	(void)ctx;
	(void)result;
	ended_relays++;
	last_relay_error = error;
}

/* Relays @count calls at the same time; returns the error of the last one. */
static int relay(unsigned int count)
{
	char key[] = "k";
	const zx_cell_store_args args = {.key = key};
	unsigned int i;

	ended_relays = 0;
	for (i = 0; i < count; i++)
		ck_assert(zr_cell_peers_relay(peers, &args, RELAY_MS,
					      on_relayed, NULL));
	while (ended_relays < count)
		uv_run(loop, UV_RUN_ONCE);
	return last_relay_error;
}

/*
 * Regression: a broken connection counted once for each call that was open on
 * it, so that a host to which one attempt had failed was chosen after a host
 * to which nearly as many attempts had failed as there were open calls.
 */
START_TEST(test_broken_connection_counts_once)
{
	char address[32];
	char registration[48];

	/* A host that accepts connections and does not reply. */
	ck_assert_int_ge(raw_listen(address, sizeof(address)), 0);
	snprintf(registration, sizeof(registration), "%s 400", address);
	set_registration("b", NULL);
	set_registration("d", registration);
	zr_cell_peers_set_active(peers, true);
	advance(2L * READ_MS);
	/* The largest host, c, refuses connections. */
	ck_assert_int_eq(relay(4), ZR_E_UNREACHABLE);
	ck_assert_int_eq(relay(1), ZR_E_OUTCOME_UNKNOWN);
	/* One attempt has failed to each: c is chosen, as the larger one. */
	ck_assert_int_eq(relay(1), ZR_E_UNREACHABLE);
	/* Calls that are sent one after the other are counted one by one. */
	ck_assert_int_eq(relay(1), ZR_E_OUTCOME_UNKNOWN);
	ck_assert_int_eq(relay(1), ZR_E_UNREACHABLE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_peers");
	TCase *tcase = tcase_create("cell_peers");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, NULL);
	tcase_add_test(tcase, test_proxies);
	tcase_add_test(tcase, test_long_tickets);
	tcase_add_test(tcase, test_peer_removed_while_standing_by);
	tcase_add_test(tcase, test_odd_registrations);
	tcase_add_test(tcase, test_broken_connection_counts_once);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

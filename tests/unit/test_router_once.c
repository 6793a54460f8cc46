/*
 * Idempotency keys in the store. A request with a key must run at most once,
 * even if replies of the store are lost or a repeated request reaches another
 * entry host.
 */
#include <check.h>
#include <string.h>

#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "route/once_store.h"
#include "zinniarack/errors.h"

#define WAIT_MS 20000

struct intent_result {
	bool done;
	int error;
	enum zr_once_state state;
	int64_t version;
	char body[64];
};

static struct fake_net *net;
static struct fake_store *store;
static struct zr_store stores[2];
static struct zr_once_backend backends[2];

static void set_up(void)
{
	static const char *const names[] = {"e1", "e2"};
	struct zr_once_store_options options = ZR_ONCE_STORE_OPTIONS_INIT;
	int i;

	net = fake_net_new();
	store = fake_store_new(net, "store");
	for (i = 0; i < 2; i++) {
		struct fake_node *node = fake_node_new(net, names[i]);

		fake_store_client(&stores[i], store, node);
		options.store = &stores[i];
		options.clock = fake_time_clock(fake_node_time(node));
		options.entry = names[i];
		options.incarnation = 1;
		ck_assert_int_eq(zr_once_store_new(&backends[i], &options), 0);
	}
}

static void tear_down(void)
{
	int i;

	for (i = 0; i < 2; i++) {
		zr_store_free(&stores[i]);
		zr_once_store_free(&backends[i]);
	}
	fake_store_free(store);
	fake_net_free(net);
}

static void on_intent(void *ctx, int error, enum zr_once_state state,
		      int64_t version, const struct zr_once_response *response)
{
	struct intent_result *result = ctx;

	ck_assert(!result->done);
	result->done = true;
	result->error = error;
	result->state = state;
	result->version = version;
	if (response)
		memcpy(result->body, response->body, response->length);
}

static struct zr_once_key key_of(const char *request_id, uint64_t digest)
{
	const struct zr_once_key key = {
		.team = "prints",
		.key = "booth-17-0042",
		.digest = digest,
		.request_id = request_id,
	};

	return key;
}

static struct intent_result record_intent(int entry, const char *request_id,
					  uint64_t digest)
{
	const struct zr_once_key key = key_of(request_id, digest);
	struct intent_result result = {0};
	int waited;

	backends[entry].ops->record_intent(backends[entry].impl, &key, WAIT_MS,
					   on_intent, &result);
	for (waited = 0; waited < WAIT_MS && !result.done; waited++)
		fake_net_advance(net, 1);
	ck_assert(result.done);
	return result;
}

/* Records the response @body, or deletes the intent if it is NULL. */
static void end_request(int entry, const char *request_id, int64_t version,
			const char *body)
{
	struct zr_once_key key = key_of(request_id, 7);
	const struct zr_once_response response = {200, body,
						  body ? strlen(body) : 0};

	key.version = version;
	if (body)
		backends[entry].ops->record_response(backends[entry].impl, &key,
						     &response);
	else
		backends[entry].ops->delete_intent(backends[entry].impl, &key);
	fake_net_advance(net, 100);
}

START_TEST(test_repeated_request_gets_the_response)
{
	struct intent_result result = record_intent(0, "r1", 7);

	ck_assert_int_eq(result.error, 0);
	ck_assert_int_eq(result.state, ZR_ONCE_NEW);
	ck_assert_int_eq(record_intent(1, "r2", 7).state, ZR_ONCE_UNCONFIRMED);
	end_request(0, "r1", result.version, "printed");
	result = record_intent(1, "r3", 7);
	ck_assert_int_eq(result.state, ZR_ONCE_ANSWERED);
	ck_assert_str_eq(result.body, "printed");
	ck_assert_int_eq(record_intent(1, "r4", 8).error, ZR_E_CONFLICT);
}
END_TEST

START_TEST(test_request_may_run_after_deleted_intent)
{
	struct intent_result result = record_intent(0, "r1", 7);

	end_request(0, "r1", result.version, NULL);
	ck_assert_int_eq(record_intent(1, "r2", 7).state, ZR_ONCE_NEW);
	/* The first request must not delete the intent of the second one. */
	end_request(0, "r1", result.version, NULL);
	ck_assert_int_eq(record_intent(0, "r3", 7).state, ZR_ONCE_UNCONFIRMED);
}
END_TEST

/*
 * The write of the intent takes effect, but its reply is lost. The backend must
 * read the record and recognize it as its own.
 */
START_TEST(test_lost_reply_is_read_back)
{
	struct zr_once_key key = key_of("r1", 7);
	struct intent_result result = {0};

	/* Creates the lease that all keys share, before replies are lost. */
	key.key = "other";
	backends[0].ops->record_intent(backends[0].impl, &key, WAIT_MS,
				       on_intent, &result);
	fake_net_advance(net, 100);
	ck_assert(result.done);
	key.key = "booth-17-0042";
	memset(&result, 0, sizeof(result));
	fake_net_set_link(net, "store", "e1", FAKE_LINK_DROP);
	backends[0].ops->record_intent(backends[0].impl, &key, WAIT_MS,
				       on_intent, &result);
	fake_net_advance(net, 10);
	fake_net_set_link(net, "store", "e1", FAKE_LINK_PASS);
	fake_net_advance(net, WAIT_MS);
	ck_assert(result.done);
	ck_assert_int_eq(result.error, 0);
	ck_assert_int_eq(result.state, ZR_ONCE_NEW);
	ck_assert_int_eq(record_intent(1, "r2", 7).state, ZR_ONCE_UNCONFIRMED);
}
END_TEST

START_TEST(test_unreachable_store_lets_no_request_run)
{
	fake_net_set_link(net, "e1", "store", FAKE_LINK_REFUSE);
	ck_assert_int_lt(record_intent(0, "r1", 7).error, 0);
	fake_net_set_link(net, "e1", "store", FAKE_LINK_DROP);
	ck_assert_int_lt(record_intent(0, "r2", 7).error, 0);
	fake_net_set_link(net, "e1", "store", FAKE_LINK_PASS);
	ck_assert_int_eq(record_intent(0, "r3", 7).state, ZR_ONCE_NEW);
}
END_TEST

START_TEST(test_rate_is_bounded)
{
	unsigned int refused = 0;
	int i;

	for (i = 0; i < 40; i++) {
		if (record_intent(0, "r1", 7).error == ZR_E_FULL)
			refused++;
	}
	ck_assert_uint_ge(refused, 40 - 20 - 2);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("router_once");
	TCase *tests = tcase_create("store");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tests, set_up, tear_down);
	tcase_add_test(tests, test_repeated_request_gets_the_response);
	tcase_add_test(tests, test_request_may_run_after_deleted_intent);
	tcase_add_test(tests, test_lost_reply_is_read_back);
	tcase_add_test(tests, test_unreachable_store_lets_no_request_run);
	tcase_add_test(tests, test_rate_is_bounded);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

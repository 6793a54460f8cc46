/*
 * Idempotency keys in the store: one run for a key, whatever answers of the
 * store are lost and whichever entry host a repeat reaches.
 */
#include <check.h>
#include <string.h>

#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "route/once_store.h"
#include "zinniarack/errors.h"

#define WAIT_MS 20000

struct begun {
	bool done;
	int error;
	enum zr_once_state state;
	int64_t version;
	char body[64];
};

static struct fake_net *net;
static struct fake_store *store;
static struct zr_store stores[2];
static struct zr_once_backend homes[2];

static void setup(void)
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
		ck_assert_int_eq(zr_once_store_new(&homes[i], &options), 0);
	}
}

static void teardown(void)
{
	int i;

	for (i = 0; i < 2; i++) {
		zr_store_free(&stores[i]);
		zr_once_store_free(&homes[i]);
	}
	fake_store_free(store);
	fake_net_free(net);
}

static void on_begun(void *ctx, int error, enum zr_once_state state,
		     int64_t version, const struct zr_once_response *answer)
{
	struct begun *begun = ctx;

	ck_assert(!begun->done);
	begun->done = true;
	begun->error = error;
	begun->state = state;
	begun->version = version;
	if (answer)
		memcpy(begun->body, answer->body, answer->length);
}

static struct zr_once_key key_of(const char *run, uint64_t digest)
{
	const struct zr_once_key key = {
		.team = "prints",
		.key = "booth-17-0042",
		.digest = digest,
		.request_id = run,
	};

	return key;
}

static struct begun begin(int entry, const char *run, uint64_t digest)
{
	const struct zr_once_key key = key_of(run, digest);
	struct begun begun = {0};
	int waited;

	homes[entry].ops->record_intent(homes[entry].impl, &key, WAIT_MS,
					on_begun, &begun);
	for (waited = 0; waited < WAIT_MS && !begun.done; waited++)
		fake_net_advance(net, 1);
	ck_assert(begun.done);
	return begun;
}

static void end(int entry, const char *run, int64_t version, const char *body)
{
	struct zr_once_key key = key_of(run, 7);
	const struct zr_once_response answer = {200, body,
						body ? strlen(body) : 0};

	key.version = version;
	if (body)
		homes[entry].ops->record_response(homes[entry].impl, &key,
						  &answer);
	else
		homes[entry].ops->delete_intent(homes[entry].impl, &key);
	fake_net_advance(net, 100);
}

START_TEST(test_repeat_gets_the_answer)
{
	struct begun begun = begin(0, "r1", 7);

	ck_assert_int_eq(begun.error, 0);
	ck_assert_int_eq(begun.state, ZR_ONCE_NEW);
	ck_assert_int_eq(begin(1, "r2", 7).state, ZR_ONCE_UNCONFIRMED);
	end(0, "r1", begun.version, "printed");
	begun = begin(1, "r3", 7);
	ck_assert_int_eq(begun.state, ZR_ONCE_ANSWERED);
	ck_assert_str_eq(begun.body, "printed");
	ck_assert_int_eq(begin(1, "r4", 8).error, ZR_E_CONFLICT);
}
END_TEST

START_TEST(test_withdrawn_may_run)
{
	struct begun begun = begin(0, "r1", 7);

	end(0, "r1", begun.version, NULL);
	ck_assert_int_eq(begin(1, "r2", 7).state, ZR_ONCE_NEW);
	/* The first run may not withdraw what the second one has kept. */
	end(0, "r1", begun.version, NULL);
	ck_assert_int_eq(begin(0, "r3", 7).state, ZR_ONCE_UNCONFIRMED);
}
END_TEST

/* The write takes effect and its answer is lost: read back, it is our own. */
START_TEST(test_lost_answer_is_read_back)
{
	struct zr_once_key key = key_of("r1", 7);
	struct begun begun = {0};

	/* The lease that all keys share is there already. */
	key.key = "other";
	homes[0].ops->record_intent(homes[0].impl, &key, WAIT_MS, on_begun,
				    &begun);
	fake_net_advance(net, 100);
	ck_assert(begun.done);
	key.key = "booth-17-0042";
	memset(&begun, 0, sizeof(begun));
	fake_net_set_link(net, "store", "e1", FAKE_LINK_DROP);
	homes[0].ops->record_intent(homes[0].impl, &key, WAIT_MS, on_begun,
				    &begun);
	fake_net_advance(net, 10);
	fake_net_set_link(net, "store", "e1", FAKE_LINK_PASS);
	fake_net_advance(net, WAIT_MS);
	ck_assert(begun.done);
	ck_assert_int_eq(begun.error, 0);
	ck_assert_int_eq(begun.state, ZR_ONCE_NEW);
	ck_assert_int_eq(begin(1, "r2", 7).state, ZR_ONCE_UNCONFIRMED);
}
END_TEST

START_TEST(test_store_down_runs_nothing)
{
	fake_net_set_link(net, "e1", "store", FAKE_LINK_REFUSE);
	ck_assert_int_lt(begin(0, "r1", 7).error, 0);
	fake_net_set_link(net, "e1", "store", FAKE_LINK_DROP);
	ck_assert_int_lt(begin(0, "r2", 7).error, 0);
	fake_net_set_link(net, "e1", "store", FAKE_LINK_PASS);
	ck_assert_int_eq(begin(0, "r3", 7).state, ZR_ONCE_NEW);
}
END_TEST

START_TEST(test_rate_is_bounded)
{
	unsigned int refused = 0;
	int i;

	for (i = 0; i < 40; i++) {
		if (begin(0, "r1", 7).error == ZR_E_FULL)
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

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, test_repeat_gets_the_answer);
	tcase_add_test(tests, test_withdrawn_may_run);
	tcase_add_test(tests, test_lost_answer_is_read_back);
	tcase_add_test(tests, test_store_down_runs_nothing);
	tcase_add_test(tests, test_rate_is_bounded);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}

#include <check.h>
#include <stdlib.h>

#include "cell/policy/order_state.h"
#include "fakes/rng.h"

/*
 * Drives a start against a model of a worker whose requests may be carried out
 * up to 12 s late, and whose responses may be lost. A task that is placed again
 * while its run exists, or can still begin, would run twice.
 */

#define SEEDS 3000
#define MESSAGES_MAX 4096
#define USUAL_MS 20
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
#define TIMEOUT_MS 300
#define STOP_MAX_MS 400
/* From here on, no request is late. */
#define CALM_AT_MS 20000
#define END_MS 30000
#define NEVER INT64_MAX

enum kind { START, STOP, POLL, KINDS };

/* A request, and its response once it has been carried out. */
struct message {
	enum kind kind;
	int64_t sent_at;
	int64_t arrives_at;
	int64_t answered_at; /* NEVER: the response is lost */
	bool carried_out;
	bool finished;
	bool positive; /* a start: accepted; a poll: the run is listed */
	bool end_listed;
};

struct model {
	struct rng rng;
	struct message messages[MESSAGES_MAX];
	size_t count;
	size_t first; /* the first one that is not finished */
	bool blocked;
	bool began;
	bool runs;
	int64_t stops_at;
	struct zr_order order;
	int64_t changed_at;
	bool in_flight[KINDS];
};

static void send(struct model *model, enum kind kind, int64_t now)
{
	struct message *message = &model->messages[model->count++];
	bool calm = now >= CALM_AT_MS;
	int64_t delay_ms = 1 + rng_below(&model->rng, USUAL_MS);
	bool late = !calm && rng_chance(&model->rng, 30);
	bool lost = late || (!calm && rng_chance(&model->rng, 10));

	ck_assert_uint_lt(model->count, MESSAGES_MAX);
	if (late)
		delay_ms = LATE_MIN_MS +
			   rng_below(&model->rng, LATE_MAX_MS - LATE_MIN_MS);
	*message = (struct message){
		.kind = kind,
		.sent_at = now,
		.arrives_at = now + delay_ms,
		.answered_at = lost ? NEVER
				    : now + delay_ms + 1 +
					       rng_below(&model->rng, USUAL_MS),
	};
	model->in_flight[kind] = true;
}

static void carry_out(struct model *model, struct message *message, int64_t now)
{
	message->carried_out = true;
	if (message->kind == START && !model->blocked && !model->began) {
		/* The task may have been started elsewhere by now. */
		ck_assert_int_ne(model->order.state, ZR_ORDER_ENDED);
		model->began = true;
		model->runs = true;
	} else if (message->kind == STOP) {
		model->blocked = true;
		if (model->runs && model->stops_at == NEVER)
			model->stops_at =
				now + rng_below(&model->rng, STOP_MAX_MS);
	}
	message->positive = model->runs;
	message->end_listed = model->began && !model->runs;
}

static enum zr_order_event event_of(const struct message *message)
{
	if (message->kind == START)
		return message->positive ? ZR_ORDER_ACCEPTED : ZR_ORDER_REFUSED;
	if (message->kind == STOP)
		return ZR_ORDER_STOP_CONFIRMED;
	if (message->end_listed)
		return ZR_ORDER_END_REPORTED;
	return message->positive ? ZR_ORDER_LISTED : ZR_ORDER_UNLISTED;
}

static void step(struct model *model, enum zr_order_event event, int64_t now)
{
	enum zr_order_state state = zr_order_step(model->order.state, event);

	if (state != model->order.state)
		model->changed_at = now;
	model->order.state = state;
	if (state == ZR_ORDER_ENDED)
		ck_assert(!model->runs);
}

static void finish(struct model *model, struct message *message, int64_t now)
{
	bool answered = now >= message->answered_at;
	enum zr_order_event event;

	message->finished = true;
	model->in_flight[message->kind] = false;
	if (!answered) {
		if (message->kind == START)
			step(model, ZR_ORDER_OVERDUE, now);
		return;
	}
	event = event_of(message);
	/* What a poll does not list may have begun since. */
	if (event == ZR_ORDER_UNLISTED && message->sent_at <= model->changed_at)
		return;
	step(model, event, now);
	if (event == ZR_ORDER_UNLISTED &&
	    model->order.state == ZR_ORDER_UNCERTAIN) {
		step(model, ZR_ORDER_STOP_SENT, now);
		send(model, STOP, now);
	}
}

static void receive(struct model *model, int64_t now)
{
	size_t count = model->count;
	size_t i;

	for (i = 0; i < count; i++) {
		struct message *message = &model->messages[i];

		if (!message->carried_out && now >= message->arrives_at)
			carry_out(model, message, now);
		if (!message->finished &&
		    (now >= message->answered_at ||
		     now >= message->sent_at + TIMEOUT_MS))
			finish(model, message, now);
	}
}

static void ask(struct model *model, int64_t now)
{
	struct zr_order *order = &model->order;

	order->is_asking = order->state == ZR_ORDER_STOPPING
				   ? model->in_flight[STOP]
				   : model->in_flight[POLL];
	switch (zr_order_next(order, now)) {
	case ZR_ORDER_POLL:
		if (order->state == ZR_ORDER_SENT)
			step(model, ZR_ORDER_OVERDUE, now);
		if (!model->in_flight[POLL])
			send(model, POLL, now);
		break;
	case ZR_ORDER_STOP:
		send(model, STOP, now);
		break;
	default:
		break;
	}
}

static void run_seed(uint64_t seed)
{
	static struct model model;
	int64_t now;

	model = (struct model){
		.rng = {seed},
		.stops_at = NEVER,
		.order = {.overdue_ms = zr_order_overdue_ms(USUAL_MS)},
	};
	send(&model, START, 0);
	for (now = 1; now < END_MS; now++) {
		if (now >= model.stops_at)
			model.runs = false;
		receive(&model, now);
		ask(&model, now);
		if (now >= CALM_AT_MS && model.order.state == ZR_ORDER_RUNNING)
			return;
	}
	/* What is uncertain must not stay so. */
	ck_assert(model.order.state == ZR_ORDER_RUNNING ||
		  model.order.state == ZR_ORDER_ENDED);
	ck_assert(model.order.state != ZR_ORDER_ENDED || !model.runs);
}

START_TEST(test_late_requests)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(seed);
}
END_TEST

/* A stop may take effect late, so a run under it is never adopted. */
START_TEST(test_stop_is_not_undone)
{
	int event;

	for (event = 0; event < ZR_ORDER_EVENTS; event++) {
		ck_assert_int_ne(zr_order_step(ZR_ORDER_STOPPING,
					       (enum zr_order_event)event),
				 ZR_ORDER_RUNNING);
		ck_assert_int_ne(zr_order_step(ZR_ORDER_VOIDED,
					       (enum zr_order_event)event),
				 ZR_ORDER_RUNNING);
	}
}
END_TEST

/* Only a confirmed stop, a refusal or an end makes a start void. */
START_TEST(test_can_begin)
{
	ck_assert(zr_order_can_begin(ZR_ORDER_SENT));
	ck_assert(zr_order_can_begin(ZR_ORDER_UNCERTAIN));
	ck_assert(zr_order_can_begin(ZR_ORDER_STOPPING));
	ck_assert(!zr_order_can_begin(ZR_ORDER_VOIDED));
	ck_assert(!zr_order_can_begin(ZR_ORDER_ENDED));
	ck_assert_int_eq(zr_order_step(ZR_ORDER_UNCERTAIN, ZR_ORDER_UNLISTED),
			 ZR_ORDER_UNCERTAIN);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("order_state");
	TCase *tcase = tcase_create("order_state");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 0);
	tcase_add_test(tcase, test_late_requests);
	tcase_add_test(tcase, test_stop_is_not_undone);
	tcase_add_test(tcase, test_can_begin);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

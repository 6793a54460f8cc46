#include "cell/policy/order_state.h"

/*
 * A response is overdue after this multiple of the usual time, or later. The
 * bound leaves time for a host with a tenth of a processor that sends the
 * starts of a gang one after the other.
 */
#define OVERDUE_FACTOR 4
#define OVERDUE_MIN_MS 100

#define S(name) ZR_ORDER_##name

/* The columns are in the order of enum zr_order_event. */
static const uint8_t table[ZR_ORDER_STATES][ZR_ORDER_EVENTS] = {
	[ZR_ORDER_SENT] = {S(RUNNING), S(ENDED), S(UNCERTAIN), S(STOPPING),
			   S(VOIDED), S(RUNNING), S(SENT), S(ENDED)},
	[ZR_ORDER_UNCERTAIN] = {S(RUNNING), S(ENDED), S(UNCERTAIN), S(STOPPING),
				S(VOIDED), S(RUNNING), S(UNCERTAIN), S(ENDED)},
	/* A stop that was sent may take effect late, so it is not undone. */
	[ZR_ORDER_STOPPING] = {S(STOPPING), S(ENDED), S(STOPPING), S(STOPPING),
			       S(VOIDED), S(STOPPING), S(STOPPING), S(ENDED)},
	[ZR_ORDER_VOIDED] = {S(VOIDED), S(ENDED), S(VOIDED), S(VOIDED),
			     S(VOIDED), S(VOIDED), S(ENDED), S(ENDED)},
	[ZR_ORDER_RUNNING] = {S(RUNNING), S(RUNNING), S(RUNNING), S(STOPPING),
			      S(VOIDED), S(RUNNING), S(ENDED), S(ENDED)},
	[ZR_ORDER_ENDED] = {S(ENDED), S(ENDED), S(ENDED), S(ENDED), S(ENDED),
			    S(ENDED), S(ENDED), S(ENDED)},
};

enum zr_order_state zr_order_step(enum zr_order_state state,
				  enum zr_order_event event)
{
	return (enum zr_order_state)table[state][event];
}

bool zr_order_can_begin(enum zr_order_state state)
{
	return state == ZR_ORDER_SENT || state == ZR_ORDER_UNCERTAIN ||
	       state == ZR_ORDER_STOPPING;
}

enum zr_order_action zr_order_next(const struct zr_order *order, int64_t now)
{
	switch (order->state) {
	case ZR_ORDER_SENT:
		return order->overdue_ms != ZR_ORDER_NEVER &&
				       now - order->sent_at >= order->overdue_ms
			       ? ZR_ORDER_POLL
			       : ZR_ORDER_WAIT;
	case ZR_ORDER_UNCERTAIN:
	case ZR_ORDER_VOIDED:
		return order->is_asking ? ZR_ORDER_WAIT : ZR_ORDER_POLL;
	case ZR_ORDER_STOPPING:
		return order->is_asking ? ZR_ORDER_WAIT : ZR_ORDER_STOP;
	default:
		return ZR_ORDER_WAIT;
	}
}

int64_t zr_order_overdue_ms(int64_t usual_ms)
{
	int64_t overdue_ms = usual_ms * OVERDUE_FACTOR;

	if (!usual_ms)
		return ZR_ORDER_NEVER;
	return overdue_ms > OVERDUE_MIN_MS ? overdue_ms : OVERDUE_MIN_MS;
}

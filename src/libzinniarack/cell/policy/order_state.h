#ifndef ZR_CELL_POLICY_ORDER_STATE_H
#define ZR_CELL_POLICY_ORDER_STATE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: State of a start request whose outcome may be unknown
 *
 * A worker may carry out a request late, long after its sender has given up
 * waiting for the response. It never begins an attempt that is not higher than
 * one that was stopped there, so a confirmed stop makes a start void: nothing
 * can begin any more, and a poll that is sent then shows whether the run
 * exists. Times are in milliseconds of one monotonic clock.
 */

/**
 * enum zr_order_state - state of a start request
 * @ZR_ORDER_SENT: it has been sent, and its response is not overdue
 * @ZR_ORDER_UNCERTAIN: its response is overdue or lost
 * @ZR_ORDER_STOPPING: a stop has been sent that is not confirmed
 * @ZR_ORDER_VOIDED: a stop is confirmed; the run may exist and be ending
 * @ZR_ORDER_RUNNING: the worker has confirmed the run
 * @ZR_ORDER_ENDED: the run does not exist and cannot begin
 */
enum zr_order_state {
	ZR_ORDER_SENT,
	ZR_ORDER_UNCERTAIN,
	ZR_ORDER_STOPPING,
	ZR_ORDER_VOIDED,
	ZR_ORDER_RUNNING,
	ZR_ORDER_ENDED,
	ZR_ORDER_STATES,
};

/**
 * enum zr_order_event - what changes the state of a start request
 * @ZR_ORDER_ACCEPTED: the response: the worker has begun the run
 * @ZR_ORDER_REFUSED: the response: it has not
 * @ZR_ORDER_OVERDUE: there is no response, or not yet
 * @ZR_ORDER_STOP_SENT: a stop of the attempt has been sent
 * @ZR_ORDER_STOP_CONFIRMED: the worker has accepted a stop of the attempt
 * @ZR_ORDER_LISTED: a poll lists the run
 * @ZR_ORDER_UNLISTED: a poll that was sent after the last change does not
 * @ZR_ORDER_END_REPORTED: a poll reports that the run has ended
 */
enum zr_order_event {
	ZR_ORDER_ACCEPTED,
	ZR_ORDER_REFUSED,
	ZR_ORDER_OVERDUE,
	ZR_ORDER_STOP_SENT,
	ZR_ORDER_STOP_CONFIRMED,
	ZR_ORDER_LISTED,
	ZR_ORDER_UNLISTED,
	ZR_ORDER_END_REPORTED,
	ZR_ORDER_EVENTS,
};

/** enum zr_order_action - what determines the outcome of a start next */
enum zr_order_action {
	ZR_ORDER_WAIT,
	ZR_ORDER_POLL,
	ZR_ORDER_STOP,
};

/** A time that never passes. */
#define ZR_ORDER_NEVER INT64_MAX

/**
 * struct zr_order - a start request
 * @state: its state
 * @sent_at: when it was sent
 * @is_asking: a poll or a stop that shows its outcome has no response yet
 * @overdue_ms: time after which its response is overdue; ZR_ORDER_NEVER: only
 *              once the request has failed
 */
struct zr_order {
	enum zr_order_state state;
	int64_t sent_at;
	bool is_asking;
	int64_t overdue_ms;
};

/** zr_order_step() - the state after an event */
enum zr_order_state zr_order_step(enum zr_order_state state,
				  enum zr_order_event event);

/** zr_order_can_begin() - whether the request can still begin the run */
bool zr_order_can_begin(enum zr_order_state state);

/**
 * zr_order_next() - what to send now to learn the outcome of a start
 * @order: the start
 * @now: the current time
 *
 * A poll for a start in ZR_ORDER_SENT implies ZR_ORDER_OVERDUE.
 */
enum zr_order_action zr_order_next(const struct zr_order *order, int64_t now);

/**
 * zr_order_overdue_ms() - time after which the response to a start is overdue
 * @usual_ms: time that other starts take; 0: not known
 *
 * Return: a multiple of @usual_ms, with a lower bound; ZR_ORDER_NEVER if it is
 * not known.
 */
int64_t zr_order_overdue_ms(int64_t usual_ms);

#endif

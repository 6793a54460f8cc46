#ifndef ZINNIARACK_TIMER_H
#define ZINNIARACK_TIMER_H

/**
 * DOC: Timers
 *
 * Timers are passed in as the clock is. The daemons hand in timers of the
 * libuv loop, tests hand in timers that fire as they move their clock.
 */

struct zr_timer;

/** Called when a timer fires; may start, stop or free that timer. */
typedef void (*zr_timer_fn)(void *ctx);

/**
 * struct zr_timers_ops - what an implementation offers
 * @create: make a stopped timer
 * @start: fire after @after_ms, then each @repeat_ms; 0: only once
 * @stop: do not fire
 * @destroy: stop and free
 */
struct zr_timers_ops {
	struct zr_timer *(*create)(void *impl, zr_timer_fn fire, void *ctx);
	void (*start)(struct zr_timer *timer, unsigned int after_ms,
		      unsigned int repeat_ms);
	void (*stop)(struct zr_timer *timer);
	void (*destroy)(struct zr_timer *timer);
};

/**
 * struct zr_timers - where timers come from
 * @ops: the implementation
 * @impl: passed to @ops->create
 */
struct zr_timers {
	const struct zr_timers_ops *ops;
	void *impl;
};

/**
 * zr_timer_new() - make a stopped timer
 * @timers: where it comes from; kept by reference
 * @fire: called when it fires
 * @ctx: passed to @fire
 *
 * Return: the timer, to be freed with zr_timer_free().
 */
struct zr_timer *zr_timer_new(const struct zr_timers *timers, zr_timer_fn fire,
			      void *ctx);

/** zr_timer_start() - see &struct zr_timers_ops.start; starts anew */
void zr_timer_start(struct zr_timer *timer, unsigned int after_ms,
		    unsigned int repeat_ms);

/** zr_timer_stop() - do not fire */
void zr_timer_stop(struct zr_timer *timer);

/** zr_timer_free() - stop and free; does nothing for NULL */
void zr_timer_free(struct zr_timer *timer);

/**
 * struct zr_timer - the part that every implementation begins with
 * @timers: where it came from
 */
struct zr_timer {
	const struct zr_timers *timers;
};

#endif

#ifndef ZINNIARACK_TIMER_H
#define ZINNIARACK_TIMER_H

/**
 * DOC: Timers
 *
 * Code that needs timers creates them with a &struct zr_timers that its caller
 * passes in. The daemons pass timers of the libuv loop; tests pass fake timers,
 * which fire when the test advances its fake clock.
 */

struct zr_timer;

/** Called when a timer fires; may start, stop or free that timer. */
typedef void (*zr_timer_fn)(void *ctx);

/**
 * struct zr_timers_ops - operations of a timer implementation
 * @create: create a stopped timer
 * @start: fire after @after_ms and then every @repeat_ms, or only once if
 *	@repeat_ms is 0
 * @stop: stop the timer, so that it no longer fires
 * @destroy: stop and free the timer
 */
struct zr_timers_ops {
	struct zr_timer *(*create)(void *impl, zr_timer_fn fire, void *ctx);
	void (*start)(struct zr_timer *timer, unsigned int after_ms,
		      unsigned int repeat_ms);
	void (*stop)(struct zr_timer *timer);
	void (*destroy)(struct zr_timer *timer);
};

/**
 * struct zr_timers - a timer implementation and its context
 * @ops: operations of the implementation
 * @impl: context of the implementation, passed to @ops->create
 */
struct zr_timers {
	const struct zr_timers_ops *ops;
	void *impl;
};

/**
 * zr_timer_new() - create a stopped timer
 * @timers: the timer implementation, kept by reference
 * @fire: called each time the timer fires
 * @ctx: passed to @fire
 *
 * Return: the timer, to be freed with zr_timer_free().
 */
struct zr_timer *zr_timer_new(const struct zr_timers *timers, zr_timer_fn fire,
			      void *ctx);

/**
 * zr_timer_start() - start a timer, or restart it if it is already running
 * @timer: the timer
 * @after_ms: milliseconds until it fires first
 * @repeat_ms: milliseconds between later firings, or 0 to fire only once
 */
void zr_timer_start(struct zr_timer *timer, unsigned int after_ms,
		    unsigned int repeat_ms);

/** zr_timer_stop() - stop a timer, so that it no longer fires */
void zr_timer_stop(struct zr_timer *timer);

/**
 * zr_timer_free() - stop and free a timer
 * @timer: the timer, or NULL
 */
void zr_timer_free(struct zr_timer *timer);

/**
 * struct zr_timer - first member of each implementation's timer struct
 * @timers: the implementation that created the timer
 */
struct zr_timer {
	const struct zr_timers *timers;
};

#endif

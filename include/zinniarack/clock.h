#ifndef ZINNIARACK_CLOCK_H
#define ZINNIARACK_CLOCK_H

#include <stdint.h>
#include <time.h>

/**
 * DOC: Clock
 *
 * Time is passed in. Code that needs the time holds a &struct zr_clock; the
 * daemons hand in zr_clock_system(), tests hand in a clock they move by hand.
 */

/**
 * struct zr_clock - where the time comes from
 * @monotonic: time that never steps, for leases, deadlines and intervals
 * @realtime: time of day, for deadlines that callers name and for logs
 * @ctx: passed to both
 */
struct zr_clock {
	struct timespec (*monotonic)(void *ctx);
	struct timespec (*realtime)(void *ctx);
	void *ctx;
};

/**
 * zr_clock_system() - the clock of the operating system
 *
 * Return: a clock that lives as long as the process.
 */
const struct zr_clock *zr_clock_system(void);

/**
 * zr_clock_boottime() - as zr_clock_system(), counting while suspended
 *
 * For leases that others measure: a host that was suspended must find them
 * over when it wakes.
 */
const struct zr_clock *zr_clock_boottime(void);

/**
 * zr_clock_now() - read the monotonic time
 * @clock: the clock
 */
struct timespec zr_clock_now(const struct zr_clock *clock);

/**
 * zr_time_add_ms() - a point in time moved by milliseconds
 * @t: the point
 * @ms: how far to move it, in milliseconds; may be negative
 */
struct timespec zr_time_add_ms(struct timespec t, int64_t ms);

/**
 * zr_time_diff_ms() - milliseconds from @b to @a, rounded towards zero
 * @a: the later point
 * @b: the earlier point
 */
int64_t zr_time_diff_ms(struct timespec a, struct timespec b);

/**
 * zr_time_cmp() - order two points in time
 * @a: one point
 * @b: the other
 *
 * Return: negative, zero or positive as @a lies before, at or after @b.
 */
int zr_time_cmp(struct timespec a, struct timespec b);

/**
 * zr_time_to_ms() - a point in time as milliseconds since its origin
 * @t: the point
 */
int64_t zr_time_to_ms(struct timespec t);

/**
 * zr_time_from_ms() - the point in time that lies @ms after the origin
 * @ms: milliseconds since the origin
 */
struct timespec zr_time_from_ms(int64_t ms);

#endif

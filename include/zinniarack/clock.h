#ifndef ZINNIARACK_CLOCK_H
#define ZINNIARACK_CLOCK_H

#include <stdint.h>
#include <time.h>

/**
 * DOC: Clock
 *
 * Code that needs the time reads it from a &struct zr_clock that its caller
 * passes in. The daemons pass the clock of the operating system; tests pass a
 * fake clock and advance it themselves.
 */

/**
 * struct zr_clock - source of the current time
 * @monotonic: time unaffected by changes of the system time, for leases,
 *	deadlines and intervals
 * @realtime: wall-clock time, for logs and for deadlines that a request gives
 *	as a time of day
 * @ctx: passed to both functions
 */
struct zr_clock {
	struct timespec (*monotonic)(void *ctx);
	struct timespec (*realtime)(void *ctx);
	void *ctx;
};

/**
 * zr_clock_system() - the clock of the operating system
 *
 * Its monotonic time is CLOCK_MONOTONIC, which stops while the host is
 * suspended.
 *
 * Return: a clock that is valid as long as the process runs.
 */
const struct zr_clock *zr_clock_system(void);

/**
 * zr_clock_boottime() - as zr_clock_system(), but time passes during suspend
 *
 * Its monotonic time is CLOCK_BOOTTIME. Needed for leases whose expiry another
 * host measures: after a suspend, this host must see that they have expired.
 */
const struct zr_clock *zr_clock_boottime(void);

/**
 * zr_clock_now() - read the monotonic time
 * @clock: the clock
 */
struct timespec zr_clock_now(const struct zr_clock *clock);

/**
 * zr_time_add_ms() - add milliseconds to a point in time
 * @t: the point in time
 * @ms: milliseconds to add; may be negative
 */
struct timespec zr_time_add_ms(struct timespec t, int64_t ms);

/**
 * zr_time_diff_ms() - milliseconds from @b to @a, rounded towards zero
 * @a: the end of the interval
 * @b: the start of the interval
 *
 * Return: the difference, negative if @a is before @b.
 */
int64_t zr_time_diff_ms(struct timespec a, struct timespec b);

/**
 * zr_time_cmp() - compare two points in time
 * @a: first point in time
 * @b: second point in time
 *
 * Return: a negative number, 0 or a positive number if @a is before, equal to
 * or after @b.
 */
int zr_time_cmp(struct timespec a, struct timespec b);

/**
 * zr_time_to_ms() - convert a point in time to milliseconds since the clock's
 * origin
 * @t: the point in time
 */
int64_t zr_time_to_ms(struct timespec t);

/**
 * zr_time_from_ms() - convert milliseconds since the clock's origin to a point
 * in time
 * @ms: milliseconds since the origin
 */
struct timespec zr_time_from_ms(int64_t ms);

#endif

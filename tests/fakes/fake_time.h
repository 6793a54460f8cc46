#ifndef FAKE_TIME_H
#define FAKE_TIME_H

#include "zinniarack/clock.h"
#include "zinniarack/timer.h"

/**
 * DOC: Simulated clock and timers
 *
 * The test advances the clock, and timers that become due fire. Timers with the
 * same due time fire in the order in which they were started.
 */

struct fake_time;

/** Monotonic time at the start of a test, in milliseconds. */
#define FAKE_TIME_START_MS 1000000

struct fake_time *fake_time_new(void);
void fake_time_free(struct fake_time *fake);
const struct zr_clock *fake_time_clock(struct fake_time *fake);
const struct zr_timers *fake_time_timers(struct fake_time *fake);

/** fake_time_advance() - advance the clock and fire due timers on the way */
void fake_time_advance(struct fake_time *fake, unsigned int ms);

/**
 * fake_time_jump() - advance the clock without firing timers
 * @fake: the clock
 * @ms: duration, in milliseconds
 *
 * This is what a process sees that was paused. Overdue timers fire with the
 * next fake_time_advance(), in the order in which they were started.
 */
void fake_time_jump(struct fake_time *fake, unsigned int ms);

/** fake_time_now_ms() - milliseconds since the test began */
int64_t fake_time_now_ms(const struct fake_time *fake);

#endif

#ifndef FAKE_TIME_H
#define FAKE_TIME_H

#include "zinniarack/clock.h"
#include "zinniarack/timer.h"

/**
 * DOC: Time that a test moves by hand
 *
 * Holds a clock and timers. Timers fire, in the order of their due times and
 * then of their starts, as the test advances the clock.
 */

struct fake_time;

/** The monotonic time, in milliseconds, at which every test begins. */
#define FAKE_TIME_START_MS 1000000

struct fake_time *fake_time_new(void);
void fake_time_free(struct fake_time *fake);
const struct zr_clock *fake_time_clock(struct fake_time *fake);
const struct zr_timers *fake_time_timers(struct fake_time *fake);

/** fake_time_advance() - move the clock and fire what falls due on the way */
void fake_time_advance(struct fake_time *fake, unsigned int ms);

/** fake_time_jump() - move the clock as a paused process finds it on waking */
void fake_time_jump(struct fake_time *fake, unsigned int ms);

/** fake_time_now_ms() - milliseconds since the test began */
int64_t fake_time_now_ms(const struct fake_time *fake);

#endif

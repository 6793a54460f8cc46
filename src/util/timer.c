#include "zinniarack/timer.h"

struct zr_timer *zr_timer_new(const struct zr_timers *timers, zr_timer_fn fire,
			      void *ctx)
{
	struct zr_timer *timer = timers->ops->create(timers->impl, fire, ctx);

	timer->timers = timers;
	return timer;
}

void zr_timer_start(struct zr_timer *timer, unsigned int after_ms,
		    unsigned int repeat_ms)
{
	timer->timers->ops->start(timer, after_ms, repeat_ms);
}

void zr_timer_stop(struct zr_timer *timer)
{
	timer->timers->ops->stop(timer);
}

void zr_timer_free(struct zr_timer *timer)
{
	if (timer)
		timer->timers->ops->destroy(timer);
}

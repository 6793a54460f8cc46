#include "fakes/fake_time.h"

#include <stdbool.h>
#include <stdlib.h>
#include <utlist.h>

struct fake_timer {
	struct zr_timer base;
	struct fake_timer *prev;
	struct fake_timer *next;
	struct fake_time *fake;
	zr_timer_fn fire;
	void *ctx;
	bool running;
	int64_t due_at;
	unsigned int repeat_ms;
	unsigned long start_number; /* order of the starts of all timers */
};

struct fake_time {
	struct zr_clock clock;
	struct zr_timers timers;
	int64_t now_ms;
	unsigned long last_start_number;
	struct fake_timer *timer_list;
};

static struct timespec read_clock(void *ctx)
{
	const struct fake_time *fake = ctx;

	return zr_time_from_ms(fake->now_ms);
}

static struct zr_timer *create(void *impl, zr_timer_fn fire, void *ctx)
{
	struct fake_timer *timer = calloc(1, sizeof(*timer));

	if (!timer)
		abort();
	timer->fake = impl;
	timer->fire = fire;
	timer->ctx = ctx;
	DL_APPEND(timer->fake->timer_list, timer);
	return &timer->base;
}

static void start(struct zr_timer *base, unsigned int after_ms,
		  unsigned int repeat_ms)
{
	struct fake_timer *timer = (struct fake_timer *)base;

	timer->running = true;
	timer->due_at = timer->fake->now_ms + after_ms;
	timer->repeat_ms = repeat_ms;
	timer->start_number = ++timer->fake->last_start_number;
}

static void stop(struct zr_timer *base)
{
	((struct fake_timer *)base)->running = false;
}

static void destroy(struct zr_timer *base)
{
	struct fake_timer *timer = (struct fake_timer *)base;

	DL_DELETE(timer->fake->timer_list, timer);
	free(timer);
}

static const struct zr_timers_ops ops = {
	.create = create,
	.start = start,
	.stop = stop,
	.destroy = destroy,
};

struct fake_time *fake_time_new(void)
{
	struct fake_time *fake = calloc(1, sizeof(*fake));

	if (!fake)
		abort();
	fake->now_ms = FAKE_TIME_START_MS;
	fake->clock.monotonic = read_clock;
	fake->clock.realtime = read_clock;
	fake->clock.ctx = fake;
	fake->timers.ops = &ops;
	fake->timers.impl = fake;
	return fake;
}

void fake_time_free(struct fake_time *fake)
{
	struct fake_timer *timer;
	struct fake_timer *next;

	DL_FOREACH_SAFE(fake->timer_list, timer, next)
	{
		destroy(&timer->base);
	}
	free(fake);
}

const struct zr_clock *fake_time_clock(struct fake_time *fake)
{
	return &fake->clock;
}

const struct zr_timers *fake_time_timers(struct fake_time *fake)
{
	return &fake->timers;
}

int64_t fake_time_now_ms(const struct fake_time *fake)
{
	return fake->now_ms - FAKE_TIME_START_MS;
}

static struct fake_timer *next_due(const struct fake_time *fake, int64_t until)
{
	struct fake_timer *next = NULL;
	struct fake_timer *timer;

	DL_FOREACH(fake->timer_list, timer)
	{
		if (!timer->running || timer->due_at > until)
			continue;
		if (!next || timer->due_at < next->due_at ||
		    (timer->due_at == next->due_at &&
		     timer->start_number < next->start_number))
			next = timer;
	}
	return next;
}

void fake_time_advance(struct fake_time *fake, unsigned int ms)
{
	int64_t until = fake->now_ms + ms;
	struct fake_timer *timer;

	while ((timer = next_due(fake, until))) {
		if (fake->now_ms < timer->due_at)
			fake->now_ms = timer->due_at;
		timer->running = timer->repeat_ms > 0;
		timer->due_at += timer->repeat_ms;
		timer->start_number = ++fake->last_start_number;
		timer->fire(timer->ctx);
	}
	fake->now_ms = until;
}

void fake_time_jump(struct fake_time *fake, unsigned int ms)
{
	struct fake_timer *timer;

	fake->now_ms += ms;
	DL_FOREACH(fake->timer_list, timer)
	{
		if (timer->due_at < fake->now_ms)
			timer->due_at = fake->now_ms;
	}
}

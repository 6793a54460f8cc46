#include "net/uv_timers.h"

#include <stdlib.h>

struct timer {
	struct zr_timer base;
	uv_timer_t handle;
	zr_timer_fn fire;
	void *ctx;
};

static void on_uv_timer(uv_timer_t *handle)
{
	struct timer *timer = handle->data;

	timer->fire(timer->ctx);
}

static struct zr_timer *create_timer(void *impl, zr_timer_fn fire, void *ctx)
{
	struct timer *timer = calloc(1, sizeof(*timer));

	if (!timer)
		abort();
	timer->fire = fire;
	timer->ctx = ctx;
	uv_timer_init(impl, &timer->handle);
	timer->handle.data = timer;
	return &timer->base;
}

static void start_timer(struct zr_timer *base, unsigned int after_ms,
			unsigned int repeat_ms)
{
	struct timer *timer = (struct timer *)base;

	/*
	 * libuv counts from the loop's cached time, which is as old as the
	 * running callback.
	 */
	uv_update_time(timer->handle.loop);
	uv_timer_start(&timer->handle, on_uv_timer, after_ms, repeat_ms);
}

static void stop_timer(struct zr_timer *base)
{
	uv_timer_stop(&((struct timer *)base)->handle);
}

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void destroy_timer(struct zr_timer *base)
{
	uv_close((uv_handle_t *)&((struct timer *)base)->handle, on_closed);
}

struct zr_timers zr_uv_timers_for_loop(uv_loop_t *loop)
{
	static const struct zr_timers_ops ops = {
		.create = create_timer,
		.start = start_timer,
		.stop = stop_timer,
		.destroy = destroy_timer,
	};
	const struct zr_timers timers = {&ops, loop};

	return timers;
}

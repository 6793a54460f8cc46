#include <stdbool.h>

#include "daemon.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"
#include "zinniarack/scheduler.h"

#define POLL_MS 50
/* Calls that entry daemons wait on may end for so long after the hand-over. */
#define CALLS_MS_MAX 3000
#define SHUTDOWN_MS_MAX 15000

static struct zr_scheduler *scheduler;
static unsigned int waited_ms;
static unsigned int calls_ms;
static bool handed_over;

static void finish(uv_timer_t *timer)
{
	zr_log(ZR_LOG_INFO,
	       "scheduler.stopped waited_ms=%u waited_for=%s cut_off=%u",
	       waited_ms, handed_over ? "calls" : "hand_over",
	       zr_scheduler_busy(scheduler));
	uv_timer_stop(timer);
	uv_stop(timer->loop);
}

static void on_poll(uv_timer_t *timer)
{
	waited_ms += POLL_MS;
	if (handed_over)
		calls_ms += POLL_MS;
	if (waited_ms >= SHUTDOWN_MS_MAX || calls_ms >= CALLS_MS_MAX ||
	    (handed_over && !zr_scheduler_busy(scheduler)))
		finish(timer);
}

static void on_handed_over(void *ctx)
{
	(void)ctx;
	handed_over = true;
}

static void on_stop(uv_loop_t *loop)
{
	static uv_timer_t timer;

	zr_log(ZR_LOG_INFO, "scheduler.stopping reason=signal open=%u",
	       zr_scheduler_busy(scheduler));
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_poll, POLL_MS, POLL_MS);
	zr_scheduler_stop(scheduler, on_handed_over, NULL);
}

static int start(uv_loop_t *loop, const struct zr_settings *settings)
{
	return zr_scheduler_new(&scheduler, loop, zr_clock_system(), settings);
}

int main(int argc, char **argv)
{
	static const struct daemon_info info = {
		.name = "zinniarack-schedulerd",
		.doc = "Schedules the work of one failure domain, or stands "
		       "by to do so.",
		.start = start,
		.stop = on_stop,
	};

	return daemon_main(&info, argc, argv);
}

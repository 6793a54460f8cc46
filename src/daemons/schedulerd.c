#include <stdbool.h>

#include "daemon.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"
#include "zinniarack/scheduler.h"

/*
 * A shutdown has two phases. First the scheduler gives up its ownership of the
 * failure domain (handover), then the open calls of entry daemons are finished.
 */

#define POLL_INTERVAL_MS 50
/* Calls still open this long after the handover are aborted. */
#define CALLS_MAX_MS 3000
/* The whole shutdown takes no longer, even without a handover. */
#define SHUTDOWN_MAX_MS 15000

static struct zr_scheduler *scheduler;
/* Time since the start of the shutdown, and since the handover. */
static unsigned int shutdown_ms;
static unsigned int since_handover_ms;
static bool is_handed_over;

static void finish_shutdown(uv_timer_t *timer)
{
	zr_log(ZR_LOG_INFO,
	       "scheduler.stopped waited_ms=%u waited_for=%s cut_off=%u",
	       shutdown_ms, is_handed_over ? "calls" : "hand_over",
	       zr_scheduler_busy(scheduler));
	uv_timer_stop(timer);
	uv_stop(timer->loop);
}

static void on_shutdown_poll(uv_timer_t *timer)
{
	shutdown_ms += POLL_INTERVAL_MS;
	if (is_handed_over)
		since_handover_ms += POLL_INTERVAL_MS;
	if (shutdown_ms >= SHUTDOWN_MAX_MS ||
	    since_handover_ms >= CALLS_MAX_MS ||
	    (is_handed_over && !zr_scheduler_busy(scheduler)))
		finish_shutdown(timer);
}

static void on_handed_over(void *ctx)
{
	(void)ctx;
	is_handed_over = true;
}

static void begin_shutdown(uv_loop_t *loop)
{
	static uv_timer_t timer;

	zr_log(ZR_LOG_INFO, "scheduler.stopping reason=signal open=%u",
	       zr_scheduler_busy(scheduler));
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_shutdown_poll, POLL_INTERVAL_MS,
		       POLL_INTERVAL_MS);
	zr_scheduler_stop(scheduler, on_handed_over, NULL);
}

static int start_scheduler(uv_loop_t *loop, const struct zr_settings *settings)
{
	return zr_scheduler_new(&scheduler, loop, zr_clock_system(), settings);
}

int main(int argc, char **argv)
{
	static const struct daemon_info info = {
		.name = "zinniarack-schedulerd",
		.doc = "Schedules the jobs of one failure domain, or stands by "
		       "to take over.",
		.start = start_scheduler,
		.stop = begin_shutdown,
	};

	return daemon_main(&info, argc, argv);
}

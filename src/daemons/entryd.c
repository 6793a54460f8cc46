#include <stdbool.h>

#include "daemon.h"
#include "zinniarack/entry.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * A shutdown has two phases. While draining, open requests are finished and new
 * ones are refused as not run, so that callers use another entry daemon. Then
 * the granted slots are returned and the listening socket is closed.
 */

#define POLL_INTERVAL_MS 50
/* Draining lasts this long even without open requests. */
#define DRAIN_MIN_MS 500
/* Time in which the schedulers receive the returned slots. */
#define RETURN_SLOTS_MS 700
/* Requests still open after this time are aborted. */
#define SHUTDOWN_MAX_MS 35000

static struct zr_entry *entry;
/* Time since the start of the shutdown. */
static unsigned int shutdown_ms;
/* Maximum number of open requests seen during the shutdown. */
static unsigned int max_open;
/* Time since the start of the second phase. */
static unsigned int returning_slots_ms;
static bool is_returning_slots;

static void finish_shutdown(uv_timer_t *timer)
{
	zr_log(ZR_LOG_INFO,
	       "entry.stopped waited_ms=%u waited_for=requests most_open=%u "
	       "cut_off=%u",
	       shutdown_ms, max_open, zr_entry_active_requests(entry));
	uv_timer_stop(timer);
	uv_stop(timer->loop);
}

static void on_shutdown_poll(uv_timer_t *timer)
{
	unsigned int open = zr_entry_active_requests(entry);

	shutdown_ms += POLL_INTERVAL_MS;
	if (open > max_open)
		max_open = open;
	if (shutdown_ms >= SHUTDOWN_MAX_MS) {
		finish_shutdown(timer);
		return;
	}
	if (!is_returning_slots && !open && shutdown_ms >= DRAIN_MIN_MS) {
		is_returning_slots = true;
		zr_entry_finish_shutdown(entry);
	}
	if (is_returning_slots &&
	    (returning_slots_ms += POLL_INTERVAL_MS) >= RETURN_SLOTS_MS &&
	    !open)
		finish_shutdown(timer);
}

static void begin_shutdown(uv_loop_t *loop)
{
	static uv_timer_t timer;

	max_open = zr_entry_active_requests(entry);
	zr_log(ZR_LOG_INFO, "entry.stopping reason=signal open=%u", max_open);
	zr_entry_begin_shutdown(entry);
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_shutdown_poll, POLL_INTERVAL_MS,
		       POLL_INTERVAL_MS);
}

static int start_entry(uv_loop_t *loop, const struct zr_settings *settings)
{
	return zr_entry_new(&entry, loop, zr_clock_system(), settings);
}

int main(int argc, char **argv)
{
	static const struct daemon_info info = {
		.name = "zinniarack-entryd",
		.doc = "Serves the callers and operators of zinniarack over "
		       "HTTP.",
		.start = start_entry,
		.stop = begin_shutdown,
	};

	return daemon_main(&info, argc, argv);
}

#include <stdbool.h>

#include "daemon.h"
#include "zinniarack/entry.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define POLL_MS 50
/* For so long callers are told to go elsewhere, though nothing is open. */
#define REFUSE_MS_MIN 500
/* For the slots to be given back. */
#define LEAVE_MS 700
#define SHUTDOWN_MS_MAX 35000

static struct zr_entry *entry;
static unsigned int waited_ms;
static unsigned int most_open;
static unsigned int left_ms;
static bool leaving;

static void finish(uv_timer_t *timer)
{
	zr_log(ZR_LOG_INFO,
	       "entry.stopped waited_ms=%u waited_for=requests most_open=%u "
	       "cut_off=%u",
	       waited_ms, most_open, zr_entry_active_requests(entry));
	uv_timer_stop(timer);
	uv_stop(timer->loop);
}

static void on_poll(uv_timer_t *timer)
{
	unsigned int open = zr_entry_active_requests(entry);

	waited_ms += POLL_MS;
	if (open > most_open)
		most_open = open;
	if (waited_ms >= SHUTDOWN_MS_MAX) {
		finish(timer);
		return;
	}
	if (!leaving && !open && waited_ms >= REFUSE_MS_MIN) {
		leaving = true;
		zr_entry_finish_shutdown(entry);
	}
	if (leaving && (left_ms += POLL_MS) >= LEAVE_MS && !open)
		finish(timer);
}

static void on_stop(uv_loop_t *loop)
{
	static uv_timer_t timer;

	most_open = zr_entry_active_requests(entry);
	zr_log(ZR_LOG_INFO, "entry.stopping reason=signal open=%u", most_open);
	zr_entry_begin_shutdown(entry);
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_poll, POLL_MS, POLL_MS);
}

static int start(uv_loop_t *loop, const struct zr_settings *settings)
{
	return zr_entry_new(&entry, loop, zr_clock_system(), settings);
}

int main(int argc, char **argv)
{
	static const struct daemon_info info = {
		.name = "zinniarack-entryd",
		.doc = "Serves callers and operators of zinniarack over HTTP.",
		.start = start,
		.stop = on_stop,
	};

	return daemon_main(&info, argc, argv);
}

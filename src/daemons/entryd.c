#include "daemon.h"
#include "zinniarack/entry.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define BUSY_POLL_MS 50
#define SHUTDOWN_MS_MAX 35000

static struct zr_entry *entry;
static unsigned int waited_ms;

static void on_busy_poll(uv_timer_t *timer)
{
	waited_ms += BUSY_POLL_MS;
	if (zr_entry_busy(entry) && waited_ms < SHUTDOWN_MS_MAX)
		return;
	zr_log(ZR_LOG_INFO, "entry.stopped waited_ms=%u", waited_ms);
	uv_timer_stop(timer);
	uv_stop(timer->loop);
}

static void on_stop(uv_loop_t *loop)
{
	static uv_timer_t timer;

	zr_log(ZR_LOG_INFO, "entry.stopping reason=signal");
	zr_entry_stop(entry);
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_busy_poll, BUSY_POLL_MS, BUSY_POLL_MS);
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

#include "daemon.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"
#include "zinniarack/scheduler.h"

static struct zr_scheduler *scheduler;

static void on_handed_over(void *ctx)
{
	zr_log(ZR_LOG_INFO, "scheduler.stopped");
	uv_stop(ctx);
}

static void on_stop(uv_loop_t *loop)
{
	zr_log(ZR_LOG_INFO, "scheduler.stopping reason=signal");
	zr_scheduler_stop(scheduler, on_handed_over, loop);
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

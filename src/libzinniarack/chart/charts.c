#include "zinniarack/charts.h"

#include <stdlib.h>
#include <string.h>

#include "chart/charts_text.h"

static const char *const ownership_states[] = {
	"standby", "campaigning", "owning", "released", NULL,
};

static const char *const ownership_events[] = {
	"vacant", "won", "not_won", "lost", "release", NULL,
};

static const char *const worker_states[] = {
	"unknown", "up", "leaving", "unheard", NULL,
};

static const char *const worker_events[] = {
	"heard", "heard_leaving", "silent", "gone", NULL,
};

static const char *const connection_states[] = {
	"opening", "idle", "busy", "closing", NULL,
};

static const char *const connection_events[] = {
	"connected", "sent", "answered", "closed", NULL,
};

static const char *const job_states[] = {
	"waiting", "running",	"parked", "succeeded",
	"failed",  "cancelled", NULL,
};

static const char *const job_events[] = {
	"placed",    "displaced", "parked",    "unparked",
	"succeeded", "failed",	  "cancelled", NULL,
};

static const struct zr_chart_names ownership_names = {
	"ownership",
	ownership_states,
	ownership_events,
	NULL,
};

static const struct zr_chart_names worker_names = {
	"worker",
	worker_states,
	worker_events,
	NULL,
};

static const struct zr_chart_names connection_names = {
	"connection",
	connection_states,
	connection_events,
	NULL,
};

static const struct zr_chart_names job_names = {
	"job",
	job_states,
	job_events,
	NULL,
};

static const char *const task_states[] = {
	"waiting", "placed",   "starting", "running",
	"unsure",  "stopping", "done",	   NULL,
};

static const char *const task_events[] = {
	"placed", "sent", "confirmed", "unanswered", "stop",
	"found",  "gone", "done",      NULL,
};

static const char *const task_bounds[] = {"none", "commit", "lease", NULL};

static const struct zr_chart_names task_names = {
	"task",
	task_states,
	task_events,
	task_bounds,
};

int zr_charts_load(struct zr_charts *out, const char *folder)
{
	int error;

	memset(out, 0, sizeof(*out));
	if ((error = zr_chart_load(&out->ownership, folder, &ownership_names)) <
		    0 ||
	    (error = zr_chart_load(&out->worker, folder, &worker_names)) < 0 ||
	    (error = zr_chart_load(&out->connection, folder,
				   &connection_names)) < 0 ||
	    (error = zr_chart_load(&out->job, folder, &job_names)) < 0 ||
	    (error = zr_chart_load(&out->task, folder, &task_names)) < 0) {
		zr_charts_clear(out);
		return error;
	}
	return 0;
}

void zr_charts_clear(struct zr_charts *charts)
{
	zr_chart_free(charts->ownership);
	zr_chart_free(charts->worker);
	zr_chart_free(charts->connection);
	zr_chart_free(charts->job);
	zr_chart_free(charts->task);
	memset(charts, 0, sizeof(*charts));
}

static struct zr_charts active;

static void load_built_in(struct zr_charts *out)
{
	const char *const *text = zr_charts_text;

	/* Parsing fails only if the build included a faulty chart. */
	if (zr_chart_parse(&out->ownership, text[0], &ownership_names) < 0 ||
	    zr_chart_parse(&out->worker, text[1], &worker_names) < 0 ||
	    zr_chart_parse(&out->connection, text[2], &connection_names) < 0 ||
	    zr_chart_parse(&out->job, text[3], &job_names) < 0 ||
	    zr_chart_parse(&out->task, text[4], &task_names) < 0)
		abort();
}

const struct zr_charts *zr_charts(void)
{
	if (!active.job)
		load_built_in(&active);
	return &active;
}

int zr_charts_use(const char *folder)
{
	struct zr_charts charts;
	int error = zr_charts_load(&charts, folder);

	if (error < 0)
		return error;
	zr_charts_clear(&active);
	active = charts;
	return 0;
}

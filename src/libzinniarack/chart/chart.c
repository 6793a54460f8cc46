#include "zinniarack/chart.h"

#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chart/schema.h"
#include "config/yaml.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define NO_WAY (-1)

struct zr_chart {
	const struct zr_chart_names *names;
	int state_count;
	int event_count;
	int initial;
	bool *described;
	bool *final;
	int *next; /* by state and event */
};

static int count_names(const char *const *names)
{
	int count = 0;

	while (names[count])
		count++;
	return count;
}

static int find_name(const char *const *names, const char *name)
{
	int i;

	for (i = 0; names[i]; i++) {
		if (!strcmp(names[i], name))
			return i;
	}
	return NO_WAY;
}

static int fault(const struct zr_chart *chart, const char *what,
		 const char *name)
{
	return zr_error_set(ZR_E_INVALID, "chart '%s': %s '%s'",
			    chart->names->chart, what, name);
}

static int *way(const struct zr_chart *chart, int state, int event)
{
	return &chart->next[state * chart->event_count + event];
}

/* Reading */

static int read_edge(struct zr_chart *chart, int state,
		     const struct chart_edge *edge)
{
	int event = find_name(chart->names->events, edge->event);
	int target = find_name(chart->names->states, edge->to);

	if (event == NO_WAY)
		return fault(chart, "unknown event", edge->event);
	if (target == NO_WAY)
		return fault(chart, "missing target", edge->to);
	if (*way(chart, state, event) != NO_WAY)
		return fault(chart, "two ways for event", edge->event);
	*way(chart, state, event) = target;
	return 0;
}

static int read_state(struct zr_chart *chart, const struct chart_state *row)
{
	int state = find_name(chart->names->states, row->name);
	uint32_t i;
	int error;

	if (state == NO_WAY)
		return fault(chart, "unknown state", row->name);
	if (chart->described[state])
		return fault(chart, "two descriptions of state", row->name);
	if (row->final == (row->on_count > 0))
		return fault(chart,
			     row->final ? "a way out of final state"
					: "no way out of state",
			     row->name);
	chart->described[state] = true;
	chart->final[state] = row->final;
	for (i = 0; i < row->on_count; i++) {
		error = read_edge(chart, state, &row->on[i]);
		if (error < 0)
			return error;
	}
	return 0;
}

/* Checks */

static void reach(const struct zr_chart *chart, bool *reached, int state)
{
	int event;

	reached[state] = true;
	for (event = 0; event < chart->event_count; event++) {
		int target = *way(chart, state, event);

		if (target != NO_WAY && !reached[target])
			reach(chart, reached, target);
	}
}

static int check_reachable(const struct zr_chart *chart)
{
	bool *reached = calloc((size_t)chart->state_count, sizeof(*reached));
	int error = 0;
	int state;

	if (!reached)
		return ZR_E_NOMEM;
	reach(chart, reached, chart->initial);
	for (state = 0; state < chart->state_count && !error; state++) {
		if (!reached[state])
			error = fault(chart, "unreachable state",
				      chart->names->states[state]);
	}
	free(reached);
	return error;
}

static int check_described(const struct zr_chart *chart)
{
	int state;

	for (state = 0; state < chart->state_count; state++) {
		if (!chart->described[state])
			return fault(chart, "no description of state",
				     chart->names->states[state]);
	}
	return 0;
}

static int check_events(const struct zr_chart *chart)
{
	int event;
	int state;

	for (event = 0; event < chart->event_count; event++) {
		for (state = 0; state < chart->state_count; state++) {
			if (*way(chart, state, event) != NO_WAY)
				break;
		}
		if (state == chart->state_count)
			return fault(chart, "no state knows event",
				     chart->names->events[event]);
	}
	return 0;
}

/* Loading */

static int read_file(struct zr_chart *chart, const struct chart_file *file)
{
	uint32_t i;
	int error;

	if (strcmp(file->chart, chart->names->chart))
		return fault(chart, "the file holds chart", file->chart);
	chart->initial = find_name(chart->names->states, file->initial);
	if (chart->initial == NO_WAY)
		return fault(chart, "unknown initial state", file->initial);
	for (i = 0; i < file->states_count; i++) {
		error = read_state(chart, &file->states[i]);
		if (error < 0)
			return error;
	}
	if ((error = check_described(chart)) < 0 ||
	    (error = check_events(chart)) < 0)
		return error;
	return check_reachable(chart);
}

static int make_chart(struct zr_chart **out, const struct zr_chart_names *names)
{
	struct zr_chart *chart;
	size_t ways;
	size_t i;

	if (!names->states[0] || !names->events[0]) {
		zr_error_set(ZR_E_INVALID, "chart '%s': no states or events",
			     names->chart);
		return ZR_E_INVALID;
	}
	chart = calloc(1, sizeof(*chart));
	if (!chart)
		return ZR_E_NOMEM;
	chart->names = names;
	chart->state_count = count_names(names->states);
	chart->event_count = count_names(names->events);
	ways = (size_t)chart->state_count * (size_t)chart->event_count;
	chart->described = calloc((size_t)chart->state_count, sizeof(bool));
	chart->final = calloc((size_t)chart->state_count, sizeof(bool));
	chart->next = calloc(ways, sizeof(*chart->next));
	if (!chart->described || !chart->final || !chart->next) {
		zr_chart_free(chart);
		return ZR_E_NOMEM;
	}
	for (i = 0; i < ways; i++)
		chart->next[i] = NO_WAY;
	*out = chart;
	return 0;
}

static int build(struct zr_chart **out, const struct chart_file *file,
		 const struct zr_chart_names *names)
{
	struct zr_chart *chart = NULL;
	int error = make_chart(&chart, names);

	if (!error)
		error = read_file(chart, file);
	if (error < 0) {
		zr_chart_free(chart);
		return error;
	}
	*out = chart;
	return 0;
}

int zr_chart_load(struct zr_chart **out, const char *folder,
		  const struct zr_chart_names *names)
{
	char path[PATH_MAX];
	void *file;
	int error;

	snprintf(path, sizeof(path), "%s/%s.yaml", folder, names->chart);
	error = zr_yaml_load_file(&file, path, &zr_chart_schema);
	if (error < 0)
		return error;
	error = build(out, file, names);
	zr_yaml_free(&zr_chart_schema, file);
	return error;
}

int zr_chart_parse(struct zr_chart **out, const char *text,
		   const struct zr_chart_names *names)
{
	void *file;
	int error = zr_yaml_load_text(&file, names->chart, text, strlen(text),
				      &zr_chart_schema);

	if (error < 0)
		return error;
	error = build(out, file, names);
	zr_yaml_free(&zr_chart_schema, file);
	return error;
}

int zr_chart_initial(const struct zr_chart *chart)
{
	return chart->initial;
}

int zr_chart_next(int *out, const struct zr_chart *chart, int state, int event)
{
	int target = *way(chart, state, event);

	if (target == NO_WAY)
		return zr_error_set(
			ZR_E_STATE, "chart '%s': event '%s' in state '%s'",
			chart->names->chart, chart->names->events[event],
			chart->names->states[state]);
	*out = target;
	return 0;
}

int zr_chart_step(int *state, const struct zr_chart *chart, int event)
{
	int error = zr_chart_next(state, chart, *state, event);

	if (error < 0)
		zr_log(ZR_LOG_ERROR, "chart.refused detail=\"%s\"",
		       zr_error_last());
	return error;
}

bool zr_chart_is_final(const struct zr_chart *chart, int state)
{
	return chart->final[state];
}

void zr_chart_free(struct zr_chart *chart)
{
	if (!chart)
		return;
	free(chart->described);
	free(chart->final);
	free(chart->next);
	free(chart);
}

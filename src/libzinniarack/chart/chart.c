#include "zinniarack/chart.h"

#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chart/schema.h"
#include "config/yaml.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define NONE (-1) /* no state or event of that name, or no transition */

struct zr_chart {
	const struct zr_chart_names *names;
	int state_count;
	int event_count;
	int initial;
	bool *defined; /* by state: whether the file has defined it */
	bool *final;   /* by state */
	int *bounds;   /* by state: position of its bound; NONE without one */
	int *next;     /* next state, by state and event; see transition() */
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
	return NONE;
}

static int set_error(const struct zr_chart *chart, const char *problem,
		     const char *name)
{
	return zr_error_set(ZR_E_INVALID, "chart '%s': %s '%s'",
			    chart->names->chart, problem, name);
}

static int *transition(const struct zr_chart *chart, int state, int event)
{
	return &chart->next[state * chart->event_count + event];
}

/* Filling a chart from its file */

static int add_transition(struct zr_chart *chart, int state,
			  const struct chart_transition *entry)
{
	int event = find_name(chart->names->events, entry->event);
	int target = find_name(chart->names->states, entry->to);

	if (event == NONE)
		return set_error(chart, "unknown event", entry->event);
	if (target == NONE)
		return set_error(chart, "unknown target state", entry->to);
	if (*transition(chart, state, event) != NONE)
		return set_error(chart, "two transitions for event",
				 entry->event);
	*transition(chart, state, event) = target;
	return 0;
}

/* In a chart with bounds, each state but the final ones names one of them. */
static int set_bound(struct zr_chart *chart, int state,
		     const struct chart_state *entry)
{
	if (!entry->bound) {
		if (!chart->names->bounds || entry->final)
			return 0;
		return set_error(chart, "no bound of state", entry->name);
	}
	if (!chart->names->bounds || entry->final)
		return set_error(chart, "needless bound of state", entry->name);
	chart->bounds[state] = find_name(chart->names->bounds, entry->bound);
	return chart->bounds[state] == NONE
		       ? set_error(chart, "unknown bound", entry->bound)
		       : 0;
}

static int add_state(struct zr_chart *chart, const struct chart_state *entry)
{
	int state = find_name(chart->names->states, entry->name);
	uint32_t i;
	int error;

	if (state == NONE)
		return set_error(chart, "unknown state", entry->name);
	if (chart->defined[state])
		return set_error(chart, "two definitions of state",
				 entry->name);
	if (entry->final == (entry->on_count > 0))
		return set_error(chart,
				 entry->final ? "transition out of final state"
					      : "no transition out of state",
				 entry->name);
	chart->defined[state] = true;
	chart->final[state] = entry->final;
	error = set_bound(chart, state, entry);
	if (error < 0)
		return error;
	for (i = 0; i < entry->on_count; i++) {
		error = add_transition(chart, state, &entry->on[i]);
		if (error < 0)
			return error;
	}
	return 0;
}

/* Checks */

static void mark_reachable(const struct zr_chart *chart, bool *reached,
			   int state)
{
	int event;

	reached[state] = true;
	for (event = 0; event < chart->event_count; event++) {
		int target = *transition(chart, state, event);

		if (target != NONE && !reached[target])
			mark_reachable(chart, reached, target);
	}
}

static int check_reachable(const struct zr_chart *chart)
{
	bool *reached = calloc((size_t)chart->state_count, sizeof(*reached));
	int error = 0;
	int state;

	if (!reached)
		return ZR_E_NOMEM;
	mark_reachable(chart, reached, chart->initial);
	for (state = 0; state < chart->state_count && !error; state++) {
		if (!reached[state])
			error = set_error(chart, "unreachable state",
					  chart->names->states[state]);
	}
	free(reached);
	return error;
}

static int check_defined(const struct zr_chart *chart)
{
	int state;

	for (state = 0; state < chart->state_count; state++) {
		if (!chart->defined[state])
			return set_error(chart, "no definition of state",
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
			if (*transition(chart, state, event) != NONE)
				break;
		}
		if (state == chart->state_count)
			return set_error(chart, "no transition for event",
					 chart->names->events[event]);
	}
	return 0;
}

/* Loading */

static int fill_chart(struct zr_chart *chart, const struct chart_file *file)
{
	uint32_t i;
	int error;

	if (strcmp(file->chart, chart->names->chart))
		return set_error(chart, "the file defines chart", file->chart);
	chart->initial = find_name(chart->names->states, file->initial);
	if (chart->initial == NONE)
		return set_error(chart, "unknown initial state", file->initial);
	for (i = 0; i < file->states_count; i++) {
		error = add_state(chart, &file->states[i]);
		if (error < 0)
			return error;
	}
	if ((error = check_defined(chart)) < 0 ||
	    (error = check_events(chart)) < 0)
		return error;
	return check_reachable(chart);
}

static int new_chart(struct zr_chart **out, const struct zr_chart_names *names)
{
	struct zr_chart *chart;
	size_t count;
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
	count = (size_t)chart->state_count * (size_t)chart->event_count;
	chart->defined = calloc((size_t)chart->state_count, sizeof(bool));
	chart->final = calloc((size_t)chart->state_count, sizeof(bool));
	chart->bounds =
		calloc((size_t)chart->state_count, sizeof(*chart->bounds));
	chart->next = calloc(count, sizeof(*chart->next));
	if (!chart->defined || !chart->final || !chart->bounds ||
	    !chart->next) {
		zr_chart_free(chart);
		return ZR_E_NOMEM;
	}
	for (i = 0; i < count; i++)
		chart->next[i] = NONE;
	for (i = 0; i < (size_t)chart->state_count; i++)
		chart->bounds[i] = NONE;
	*out = chart;
	return 0;
}

static int build_chart(struct zr_chart **out, const struct chart_file *file,
		       const struct zr_chart_names *names)
{
	struct zr_chart *chart = NULL;
	int error = new_chart(&chart, names);

	if (!error)
		error = fill_chart(chart, file);
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
	error = build_chart(out, file, names);
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
	error = build_chart(out, file, names);
	zr_yaml_free(&zr_chart_schema, file);
	return error;
}

int zr_chart_initial(const struct zr_chart *chart)
{
	return chart->initial;
}

int zr_chart_next(int *out, const struct zr_chart *chart, int state, int event)
{
	int target = *transition(chart, state, event);

	if (target == NONE)
		return zr_error_set(ZR_E_STATE,
				    "chart '%s': no transition for event '%s' "
				    "in state '%s'",
				    chart->names->chart,
				    chart->names->events[event],
				    chart->names->states[state]);
	*out = target;
	return 0;
}

int zr_chart_step(int *state, const struct zr_chart *chart, int event)
{
	int error = zr_chart_next(state, chart, *state, event);

	if (error < 0)
		zr_log(ZR_LOG_ERROR, "chart.invalid_event detail=\"%s\"",
		       zr_error_last());
	return error;
}

bool zr_chart_is_final(const struct zr_chart *chart, int state)
{
	return chart->final[state];
}

int zr_chart_bound(const struct zr_chart *chart, int state)
{
	return chart->bounds[state];
}

void zr_chart_free(struct zr_chart *chart)
{
	if (!chart)
		return;
	free(chart->defined);
	free(chart->final);
	free(chart->bounds);
	free(chart->next);
	free(chart);
}

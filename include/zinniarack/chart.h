#ifndef ZINNIARACK_CHART_H
#define ZINNIARACK_CHART_H

#include <stdbool.h>

/**
 * DOC: State charts
 *
 * The states of jobs, workers, connections and ownership, and what leads from
 * one to another, are YAML files that this module reads. Code names states and
 * events by its enumerations; loading binds these to the names in the file and
 * refuses a chart that does not match them, has a state that cannot be reached,
 * a target that does not exist, or two ways for one event.
 */

struct zr_chart;

/**
 * struct zr_chart_names - what the code calls a chart's states and events
 * @chart: name of the chart; its file is `<chart>.yaml`
 * @states: names in the order of the enumeration, ended by NULL
 * @events: names in the order of the enumeration, ended by NULL
 */
struct zr_chart_names {
	const char *chart;
	const char *const *states;
	const char *const *events;
};

/**
 * zr_chart_load() - read and check a chart
 * @out: the chart, to be freed with zr_chart_free()
 * @folder: where the charts are
 * @names: what the code expects in it; kept by reference
 *
 * Return: 0, ZR_E_NOT_FOUND, or ZR_E_INVALID with the fault in
 * zr_error_last().
 */
int zr_chart_load(struct zr_chart **out, const char *folder,
		  const struct zr_chart_names *names);

/**
 * zr_chart_parse() - as zr_chart_load(), from text in memory
 * @out: the chart, to be freed with zr_chart_free()
 * @text: NUL-terminated YAML
 * @names: what the code expects in it; kept by reference
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_chart_parse(struct zr_chart **out, const char *text,
		   const struct zr_chart_names *names);

/** zr_chart_initial() - the state in which everything begins */
int zr_chart_initial(const struct zr_chart *chart);

/**
 * zr_chart_next() - the state that an event leads to
 * @out: the state; unchanged on an error
 * @chart: the chart
 * @state: the present state
 * @event: the event
 *
 * Return: 0, or ZR_E_STATE when the event is unknown in that state.
 */
int zr_chart_next(int *out, const struct zr_chart *chart, int state, int event);

/**
 * zr_chart_step() - let an event move a state, and log what the chart refuses
 * @state: the state; moved unless the event is unknown in it
 * @chart: the chart
 * @event: the event
 *
 * Return: 0, or ZR_E_STATE.
 */
int zr_chart_step(int *state, const struct zr_chart *chart, int event);

/** zr_chart_is_final() - whether nothing leads out of a state */
bool zr_chart_is_final(const struct zr_chart *chart, int state);

/** zr_chart_free() - free a chart, or do nothing for NULL */
void zr_chart_free(struct zr_chart *chart);

#endif

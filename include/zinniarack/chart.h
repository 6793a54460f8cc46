#ifndef ZINNIARACK_CHART_H
#define ZINNIARACK_CHART_H

#include <stdbool.h>

/**
 * DOC: State charts
 *
 * A chart is a finite state machine that is read from a YAML file: the states
 * of a job, task, worker, connection or ownership and the transitions between
 * them. C code refers to states and events by the values of enumerations, which
 * loading binds to the names in the file. Loading rejects a chart that doesn't
 * define exactly these states, has an unreachable state, a target that doesn't
 * exist, an event without a transition, or two transitions for one state and
 * event.
 *
 * A chart may require that the time in each of its states is bounded: each
 * state that is not final then names what bounds it, and loading rejects one
 * that does not. The code that applies the events ends a state whose bound is
 * over.
 */

struct zr_chart;

/**
 * struct zr_chart_names - names of a chart's states and events
 * @chart: name of the chart; its file is `<chart>.yaml`
 * @states: names of the states in the order of their enumeration, terminated by
 *	NULL
 * @events: names of the events in the order of their enumeration, terminated by
 *	NULL
 * @bounds: names of what bounds the time in a state, in the order of their
 *	enumeration, terminated by NULL; NULL: the states name no bounds
 */
struct zr_chart_names {
	const char *chart;
	const char *const *states;
	const char *const *events;
	const char *const *bounds;
};

/**
 * zr_chart_load() - read and check a chart
 * @out: the chart; free with zr_chart_free()
 * @folder: folder of the YAML files
 * @names: the chart's name and the states and events that it must define; must
 *	outlive the chart
 *
 * Return: 0, ZR_E_NOT_FOUND, ZR_E_NOMEM, or ZR_E_INVALID; zr_error_last() has
 * the reason.
 */
int zr_chart_load(struct zr_chart **out, const char *folder,
		  const struct zr_chart_names *names);

/**
 * zr_chart_parse() - read and check a chart from text in memory
 * @out: the chart; free with zr_chart_free()
 * @text: NUL-terminated YAML
 * @names: as for zr_chart_load()
 *
 * Return: 0, ZR_E_NOMEM or ZR_E_INVALID.
 */
int zr_chart_parse(struct zr_chart **out, const char *text,
		   const struct zr_chart_names *names);

/** zr_chart_initial() - return the initial state */
int zr_chart_initial(const struct zr_chart *chart);

/**
 * zr_chart_next() - look up the state that an event leads to
 * @out: the next state; unchanged on an error
 * @chart: the chart
 * @state: the current state
 * @event: the event
 *
 * Return: 0, or ZR_E_STATE when the state has no transition for the event.
 */
int zr_chart_next(int *out, const struct zr_chart *chart, int state, int event);

/**
 * zr_chart_step() - apply an event to a state
 * @state: the current state; set to the next one, or unchanged on an error
 * @chart: the chart
 * @event: the event
 *
 * Logs an error when the state has no transition for the event.
 *
 * Return: 0 or ZR_E_STATE.
 */
int zr_chart_step(int *state, const struct zr_chart *chart, int event);

/** zr_chart_is_final() - whether a state has no transitions */
bool zr_chart_is_final(const struct zr_chart *chart, int state);

/**
 * zr_chart_bound() - what bounds the time in a state
 * @chart: a chart with bounds
 * @state: a state that is not final
 *
 * Return: position in &struct zr_chart_names.bounds.
 */
int zr_chart_bound(const struct zr_chart *chart, int state);

/** zr_chart_free() - free a chart, or do nothing for NULL */
void zr_chart_free(struct zr_chart *chart);

#endif

#ifndef ZR_CHART_SCHEMA_H
#define ZR_CHART_SCHEMA_H

#include <cyaml/cyaml.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Schema of a chart file
 *
 * The structs that libcyaml loads a chart file into.
 */

/**
 * struct chart_transition - a transition of a state
 * @event: name of the event
 * @to: name of the next state
 */
struct chart_transition {
	char *event;
	char *to;
};

/**
 * struct chart_state - a state
 * @name: its name
 * @final: whether it has no transitions
 * @bound: name of the bound of the time in it; NULL: not given
 * @on: its transitions
 * @on_count: number of transitions
 */
struct chart_state {
	char *name;
	bool final;
	char *bound;
	struct chart_transition *on;
	uint32_t on_count;
};

/**
 * struct chart_file - a chart file
 * @chart: name of the chart
 * @initial: name of the initial state
 * @states: its states
 * @states_count: number of states
 */
struct chart_file {
	char *chart;
	char *initial;
	struct chart_state *states;
	uint32_t states_count;
};

/** The libcyaml schema of &struct chart_file. */
extern const cyaml_schema_value_t zr_chart_schema;

#endif

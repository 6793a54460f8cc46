#ifndef ZR_CHART_SCHEMA_H
#define ZR_CHART_SCHEMA_H

#include <cyaml/cyaml.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Chart files as libcyaml loads them
 */

struct chart_edge {
	char *event;
	char *to;
};

struct chart_state {
	char *name;
	bool final;
	struct chart_edge *on;
	uint32_t on_count;
};

struct chart_file {
	char *chart;
	char *initial;
	struct chart_state *states;
	uint32_t states_count;
};

extern const cyaml_schema_value_t zr_chart_schema;

#endif

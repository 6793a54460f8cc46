#include "chart/schema.h"

#define NAME_FIELD(key, type, member) \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER, type, member, 1, 63)

static const cyaml_schema_field_t transition_fields[] = {
	NAME_FIELD("event", struct chart_transition, event),
	NAME_FIELD("to", struct chart_transition, to), CYAML_FIELD_END};

static const cyaml_schema_value_t transition_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct chart_transition,
			    transition_fields),
};

static const cyaml_schema_field_t state_fields[] = {
	NAME_FIELD("name", struct chart_state, name),
	CYAML_FIELD_BOOL("final", CYAML_FLAG_OPTIONAL, struct chart_state,
			 final),
	CYAML_FIELD_STRING_PTR("bound",
			       CYAML_FLAG_POINTER_NULL | CYAML_FLAG_OPTIONAL,
			       struct chart_state, bound, 1, 63),
	CYAML_FIELD_SEQUENCE("on", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     struct chart_state, on, &transition_schema, 0,
			     CYAML_UNLIMITED),
	CYAML_FIELD_END};

static const cyaml_schema_value_t state_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct chart_state,
			    state_fields),
};

static const cyaml_schema_field_t chart_fields[] = {
	NAME_FIELD("chart", struct chart_file, chart),
	NAME_FIELD("initial", struct chart_file, initial),
	CYAML_FIELD_SEQUENCE("states", CYAML_FLAG_POINTER, struct chart_file,
			     states, &state_schema, 1, CYAML_UNLIMITED),
	CYAML_FIELD_END};

const cyaml_schema_value_t zr_chart_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct chart_file,
			    chart_fields),
};

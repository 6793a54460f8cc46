#include <stdlib.h>

#include "config/schema.h"
#include "config/yaml.h"
#include "net/address.h"
#include "zinniarack/cell_host.h"
#include "zinniarack/errors.h"

#define NAME_MAX_BYTES 63
/*
 * Workers cut longer leases to lease_max_ms. With shorter ones, they lose runs
 * in every outage.
 */
#define DEFAULT_LEASE_MS 5500
#define DEFAULT_LEASE_MAX_MS 6000
#define DEFAULT_KEEP_ENDED_MS 130000
/* A withdrawn API key must be refused after 5000 ms at the latest. */
#define DEFAULT_KEY_AGE_MAX_MS 3500
#define DEFAULT_LEAVE_MS 5000

#define TEXT_FIELD(key, flags, type, member, min)                       \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | (flags), type, \
			       member, min, NAME_MAX_BYTES)
#define LISTEN_FIELD(key, member)                                              \
	TEXT_FIELD(key, 0, __typeof__(((struct zr_cell_settings *)0)->listen), \
		   member, 3)

static const cyaml_schema_field_t listen_fields[] = {
	LISTEN_FIELD("callers", callers),
	LISTEN_FIELD("readiness", readiness),
	LISTEN_FIELD("peers", peers),
	LISTEN_FIELD("metrics", metrics),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t log_fields[] = {
	CYAML_FIELD_ENUM("level", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
			 __typeof__(((struct zr_cell_settings *)0)->log), level,
			 zr_log_levels, ZR_LOG_LEVELS),
	CYAML_FIELD_ENUM("format", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
			 __typeof__(((struct zr_cell_settings *)0)->log),
			 format, zr_log_formats, ZR_LOG_FORMATS),
	CYAML_FIELD_END};

#define PAST_USE_FIELD(member)                                                 \
	CYAML_FIELD_UINT(#member, CYAML_FLAG_OPTIONAL,                         \
			 __typeof__(((struct zr_cell_settings *)0)->past_use), \
			 member)

static const cyaml_schema_field_t past_use_fields[] = {
	PAST_USE_FIELD(half_life_s),
	PAST_USE_FIELD(weight_percent),
	CYAML_FIELD_END,
};
static const cyaml_schema_field_t worker_speed_fields[] = {
	CYAML_FIELD_BOOL(
		"enabled", CYAML_FLAG_OPTIONAL,
		__typeof__(((struct zr_cell_settings *)0)->worker_speed),
		enabled),
	CYAML_FIELD_END};

static const cyaml_schema_field_t admission_fields[] = {
	CYAML_FIELD_BOOL("enabled", CYAML_FLAG_OPTIONAL,
			 __typeof__(((struct zr_cell_settings *)0)->admission),
			 enabled),
	CYAML_FIELD_END};
static const cyaml_schema_field_t departures_fields[] = {
	CYAML_FIELD_BOOL("move_runs", CYAML_FLAG_OPTIONAL,
			 __typeof__(((struct zr_cell_settings *)0)->departures),
			 move_runs),
	CYAML_FIELD_END,
};

#define NUMBER_FIELD(member)                           \
	CYAML_FIELD_UINT(#member, CYAML_FLAG_OPTIONAL, \
			 struct zr_cell_settings, member)

static const cyaml_schema_field_t settings_fields[] = {
	TEXT_FIELD("name", 0, struct zr_cell_settings, name, 1),
	TEXT_FIELD("cell", 0, struct zr_cell_settings, cell, 1),
	TEXT_FIELD("failure_domain", 0, struct zr_cell_settings, failure_domain,
		   1),
	TEXT_FIELD("store", 0, struct zr_cell_settings, store, 3),
	TEXT_FIELD("adviser", CYAML_FLAG_OPTIONAL, struct zr_cell_settings,
		   adviser, 3),
	CYAML_FIELD_MAPPING("listen", CYAML_FLAG_DEFAULT,
			    struct zr_cell_settings, listen, listen_fields),
	CYAML_FIELD_FLOAT("processors", CYAML_FLAG_OPTIONAL,
			  struct zr_cell_settings, processors),
	NUMBER_FIELD(lease_ms),
	NUMBER_FIELD(lease_max_ms),
	NUMBER_FIELD(keep_ended_ms),
	NUMBER_FIELD(key_age_max_ms),
	NUMBER_FIELD(leave_ms),
	NUMBER_FIELD(message_memory_mb),
	CYAML_FIELD_MAPPING("log", CYAML_FLAG_OPTIONAL, struct zr_cell_settings,
			    log, log_fields),
	NUMBER_FIELD(evacuation_ms),
	CYAML_FIELD_MAPPING("past_use", CYAML_FLAG_OPTIONAL,
			    struct zr_cell_settings, past_use, past_use_fields),
	CYAML_FIELD_MAPPING("worker_speed", CYAML_FLAG_OPTIONAL,
			    struct zr_cell_settings, worker_speed,
			    worker_speed_fields),
	CYAML_FIELD_MAPPING("admission", CYAML_FLAG_OPTIONAL,
			    struct zr_cell_settings, admission,
			    admission_fields),
	CYAML_FIELD_MAPPING("departures", CYAML_FLAG_OPTIONAL,
			    struct zr_cell_settings, departures,
			    departures_fields),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t settings_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct zr_cell_settings,
			    settings_fields),
};

#define RANGE(path, min, max, absent)                       \
	{                                                   \
		path, ZR_RULE_RANGE, min, max, "ms", absent \
	}
#define NAME(path)                                   \
	{                                            \
		path, ZR_RULE_NAME, 0, 0, NULL, NULL \
	}
#define ADDRESS(path, absent)                             \
	{                                                 \
		path, ZR_RULE_ADDRESS, 0, 0, NULL, absent \
	}
#define ANY(path, absent)                             \
	{                                             \
		path, ZR_RULE_ANY, 0, 0, NULL, absent \
	}

static const struct zr_field_rule settings_rules[] = {
	NAME("name"),
	NAME("cell"),
	NAME("failure_domain"),
	ADDRESS("store", NULL),
	ADDRESS("adviser", "no adviser"),
	ADDRESS("listen.callers", NULL),
	ADDRESS("listen.readiness", NULL),
	ADDRESS("listen.peers", NULL),
	ADDRESS("listen.metrics", NULL),
	{"processors", ZR_RULE_RANGE, 0, 1024, "processors", "0"},
	RANGE("lease_ms", 500, 600000, "5500"),
	RANGE("lease_max_ms", 500, 600000, "6000"),
	RANGE("keep_ended_ms", 1000, 86400000, "130000"),
	RANGE("key_age_max_ms", 500, 600000, "3500"),
	RANGE("leave_ms", 100, 600000, "5000"),
	{"message_memory_mb", ZR_RULE_RANGE, 4, 65536, "MiB",
	 "a quarter of the memory, up to 32"},
	ANY("log.level", "error"),
	ANY("log.format", "text"),
	RANGE("evacuation_ms", 0, 600000, "0"),
	{"past_use.half_life_s", ZR_RULE_RANGE, 1, 31536000, "s", "off"},
	{"past_use.weight_percent", ZR_RULE_RANGE, 0, 100, "%", "off"},
	ANY("worker_speed.enabled", "false"),
	ANY("admission.enabled", "false"),
	ANY("departures.move_runs", "false"),
	{NULL, ZR_RULE_ANY, 0, 0, NULL, NULL},
};

static void set_default(uint32_t *value, uint32_t default_value)
{
	if (!*value)
		*value = default_value;
}

int zr_cell_settings_load(struct zr_cell_settings **out, const char *path)
{
	struct zr_cell_settings *settings;
	void *loaded = NULL;
	int error = zr_yaml_load_file_checked(&loaded, path, &settings_schema,
					      settings_rules);

	if (error < 0)
		return error;
	settings = loaded;
	set_default(&settings->lease_ms, DEFAULT_LEASE_MS);
	set_default(&settings->lease_max_ms, DEFAULT_LEASE_MAX_MS);
	set_default(&settings->keep_ended_ms, DEFAULT_KEEP_ENDED_MS);
	set_default(&settings->key_age_max_ms, DEFAULT_KEY_AGE_MAX_MS);
	set_default(&settings->leave_ms, DEFAULT_LEAVE_MS);
	*out = settings;
	return 0;
}

void zr_cell_settings_free(struct zr_cell_settings *settings)
{
	zr_yaml_free(&settings_schema, settings);
}

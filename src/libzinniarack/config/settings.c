#include "zinniarack/settings.h"

#include <stdlib.h>

#include "config/schema.h"
#include "config/yaml.h"
#include "net/address.h"
#include "zinniarack/errors.h"

#define NAME_MAX_BYTES 63
#define DEFAULT_BODY_BYTES (1u << 20)
#define DEFAULT_REQUEST_TIMEOUT_MS 10000
#define DEFAULT_CONNECTIONS 1024

const cyaml_strval_t zr_log_levels[ZR_LOG_LEVELS] = {
	{"error", ZR_LOG_ERROR},
	{"warn", ZR_LOG_WARN},
	{"info", ZR_LOG_INFO},
	{"debug", ZR_LOG_DEBUG},
};

const cyaml_strval_t zr_log_formats[ZR_LOG_FORMATS] = {
	{"text", ZR_LOG_TEXT},
	{"json", ZR_LOG_JSON},
};

#define ADDRESS_FIELD(key, member)                                          \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER, struct zr_settings, \
			       member, 3, ZR_ADDRESS_MAX - 1)
#define NAME_FIELD(key, member)                                             \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER, struct zr_settings, \
			       member, 1, NAME_MAX_BYTES)

/* The fields of a nested struct have offsets relative to that struct. */
static const cyaml_schema_field_t entry_fields[] = {
	CYAML_FIELD_STRING_PTR("http", CYAML_FLAG_POINTER,
			       __typeof__(((struct zr_settings *)0)->entry),
			       http, 3, ZR_ADDRESS_MAX - 1),
	CYAML_FIELD_STRING_PTR("rpc", CYAML_FLAG_POINTER,
			       __typeof__(((struct zr_settings *)0)->entry),
			       rpc, 3, ZR_ADDRESS_MAX - 1),
	CYAML_FIELD_END};

static const cyaml_schema_field_t scheduler_fields[] = {
	CYAML_FIELD_STRING_PTR("http", CYAML_FLAG_POINTER,
			       __typeof__(((struct zr_settings *)0)->scheduler),
			       http, 3, ZR_ADDRESS_MAX - 1),
	CYAML_FIELD_STRING_PTR("rpc", CYAML_FLAG_POINTER,
			       __typeof__(((struct zr_settings *)0)->scheduler),
			       rpc, 3, ZR_ADDRESS_MAX - 1),
	CYAML_FIELD_END};

static const cyaml_schema_field_t log_fields[] = {
	CYAML_FIELD_ENUM("level", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
			 __typeof__(((struct zr_settings *)0)->log), level,
			 zr_log_levels, ZR_LOG_LEVELS),
	CYAML_FIELD_ENUM("format", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
			 __typeof__(((struct zr_settings *)0)->log), format,
			 zr_log_formats, ZR_LOG_FORMATS),
	CYAML_FIELD_END};

static const cyaml_schema_field_t limits_fields[] = {
	CYAML_FIELD_UINT("body_bytes", CYAML_FLAG_OPTIONAL,
			 __typeof__(((struct zr_settings *)0)->limits),
			 body_bytes),
	CYAML_FIELD_UINT("request_timeout_ms", CYAML_FLAG_OPTIONAL,
			 __typeof__(((struct zr_settings *)0)->limits),
			 request_timeout_ms),
	CYAML_FIELD_UINT("connections", CYAML_FLAG_OPTIONAL,
			 __typeof__(((struct zr_settings *)0)->limits),
			 connections),
	CYAML_FIELD_UINT("message_memory_mb", CYAML_FLAG_OPTIONAL,
			 __typeof__(((struct zr_settings *)0)->limits),
			 message_memory_mb),
	CYAML_FIELD_END};

static const cyaml_schema_field_t operator_fields[] = {
	CYAML_FIELD_STRING_PTR("id", CYAML_FLAG_POINTER, struct zr_config_key,
			       id, 1, NAME_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("salt", CYAML_FLAG_POINTER, struct zr_config_key,
			       salt, 32, 32),
	CYAML_FIELD_STRING_PTR("sha256", CYAML_FLAG_POINTER,
			       struct zr_config_key, sha256, 64, 64),
	CYAML_FIELD_END};

static const cyaml_schema_value_t operator_schema = {CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct zr_config_key, operator_fields)};

static const cyaml_schema_field_t settings_fields[] = {
	NAME_FIELD("name", name),
	NAME_FIELD("failure_domain", failure_domain),
	ADDRESS_FIELD("store", store),
	ADDRESS_FIELD("host_list", host_list),
	CYAML_FIELD_STRING_PTR("charts", CYAML_FLAG_POINTER, struct zr_settings,
			       charts, 1, 4095),
	CYAML_FIELD_MAPPING("entry", CYAML_FLAG_DEFAULT, struct zr_settings,
			    entry, entry_fields),
	CYAML_FIELD_MAPPING("scheduler", CYAML_FLAG_DEFAULT, struct zr_settings,
			    scheduler, scheduler_fields),
	CYAML_FIELD_MAPPING("log", CYAML_FLAG_OPTIONAL, struct zr_settings, log,
			    log_fields),
	CYAML_FIELD_MAPPING("limits", CYAML_FLAG_OPTIONAL, struct zr_settings,
			    limits, limits_fields),
	CYAML_FIELD_SEQUENCE("operators",
			     CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     struct zr_settings, operators, &operator_schema, 0,
			     CYAML_UNLIMITED),
	CYAML_FIELD_END};

const cyaml_schema_value_t zr_settings_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct zr_settings,
			    settings_fields),
};

#define RANGE(path, min, max, unit, absent)                 \
	{                                                   \
		path, ZR_RULE_RANGE, min, max, unit, absent \
	}
#define ADDRESS(path)                                   \
	{                                               \
		path, ZR_RULE_ADDRESS, 0, 0, NULL, NULL \
	}
#define NAME(path)                                   \
	{                                            \
		path, ZR_RULE_NAME, 0, 0, NULL, NULL \
	}
#define HEX(path)                                   \
	{                                           \
		path, ZR_RULE_HEX, 0, 0, NULL, NULL \
	}
#define ANY(path, absent)                             \
	{                                             \
		path, ZR_RULE_ANY, 0, 0, NULL, absent \
	}

const struct zr_field_rule zr_settings_rules[] = {
	NAME("name"),
	NAME("failure_domain"),
	ADDRESS("store"),
	ADDRESS("host_list"),
	ANY("charts", NULL),
	ADDRESS("entry.http"),
	ADDRESS("entry.rpc"),
	ADDRESS("scheduler.http"),
	ADDRESS("scheduler.rpc"),
	ANY("log.level", "error"),
	ANY("log.format", "text"),
	RANGE("limits.body_bytes", 1024, 16777216, "bytes", "1048576"),
	RANGE("limits.request_timeout_ms", 100, 600000, "ms", "10000"),
	RANGE("limits.connections", 1, 65536, "connections", "1024"),
	RANGE("limits.message_memory_mb", 4, 65536, "MiB",
	      "a quarter of the memory, up to 32"),
	NAME("operators[].id"),
	HEX("operators[].salt"),
	HEX("operators[].sha256"),
	{NULL, ZR_RULE_ANY, 0, 0, NULL, NULL},
};

static void fill_defaults(struct zr_settings *settings)
{
	if (!settings->limits.body_bytes)
		settings->limits.body_bytes = DEFAULT_BODY_BYTES;
	if (!settings->limits.request_timeout_ms)
		settings->limits.request_timeout_ms =
			DEFAULT_REQUEST_TIMEOUT_MS;
	if (!settings->limits.connections)
		settings->limits.connections = DEFAULT_CONNECTIONS;
}

int zr_settings_load(struct zr_settings **out, const char *path)
{
	void *loaded = NULL;
	int error = zr_yaml_load_file_checked(
		&loaded, path, &zr_settings_schema, zr_settings_rules);

	if (error < 0)
		return error;
	*out = loaded;
	fill_defaults(*out);
	return 0;
}

void zr_settings_free(struct zr_settings *settings)
{
	zr_yaml_free(&zr_settings_schema, settings);
}

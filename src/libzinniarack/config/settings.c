#include "zinniarack/settings.h"

#include "config/yaml.h"
#include "net/address.h"
#include "zinniarack/errors.h"

#define NAME_MAX_BYTES 63
#define DEFAULT_BODY_BYTES (1u << 20)
#define DEFAULT_REQUEST_TIMEOUT_MS 10000
#define DEFAULT_CONNECTIONS 1024

static const cyaml_strval_t log_levels[] = {
	{"error", ZR_LOG_ERROR},
	{"warn", ZR_LOG_WARN},
	{"info", ZR_LOG_INFO},
	{"debug", ZR_LOG_DEBUG},
};

static const cyaml_strval_t log_formats[] = {
	{"text", ZR_LOG_TEXT},
	{"json", ZR_LOG_JSON},
};

#define ADDRESS_FIELD(key, member)                                          \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER, struct zr_settings, \
			       member, 3, ZR_ADDRESS_MAX - 1)
#define NAME_FIELD(key, member)                                             \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER, struct zr_settings, \
			       member, 1, NAME_MAX_BYTES)

/* Members of the nested structs are placed by their offset in the outer. */
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
			 log_levels, CYAML_ARRAY_LEN(log_levels)),
	CYAML_FIELD_ENUM("format", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
			 __typeof__(((struct zr_settings *)0)->log), format,
			 log_formats, CYAML_ARRAY_LEN(log_formats)),
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
	CYAML_FIELD_END};

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
	CYAML_FIELD_END};

static const cyaml_schema_value_t settings_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct zr_settings,
			    settings_fields),
};

static int check_addresses(const char *path, const struct zr_settings *settings)
{
	const char *const addresses[] = {
		settings->store,	  settings->host_list,
		settings->entry.http,	  settings->entry.rpc,
		settings->scheduler.http, settings->scheduler.rpc,
	};
	struct sockaddr_storage parsed;
	size_t i;

	for (i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
		if (zr_address_parse(&parsed, addresses[i]) < 0)
			return zr_error_set(
				ZR_E_INVALID,
				"%s: '%s' is not an address such as "
				"192.0.2.1:80",
				path, addresses[i]);
	}
	return 0;
}

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
	struct zr_settings *settings;
	void *loaded;
	int error = zr_yaml_load_file(&loaded, path, &settings_schema);

	if (error < 0)
		return error;
	settings = loaded;
	error = check_addresses(path, settings);
	if (error < 0) {
		zr_settings_free(settings);
		return error;
	}
	fill_defaults(settings);
	*out = settings;
	return 0;
}

void zr_settings_free(struct zr_settings *settings)
{
	zr_yaml_free(&settings_schema, settings);
}

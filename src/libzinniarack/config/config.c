#include "zinniarack/config.h"

#include <stdlib.h>
#include <string.h>

#include "config/schema.h"
#include "config/yaml.h"
#include "zinniarack/errors.h"

static const cyaml_strval_t policies[] = {
	{"waiting-first", ZR_POLICY_WAITING_FIRST},
	{"shares-first", ZR_POLICY_SHARES_FIRST},
};

#define NAME_PTR(key, flags, type, member)                              \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | (flags), type, \
			       member, 1, ZR_NAME_MAX - 1)

static const cyaml_schema_field_t limit_fields[] = {
	CYAML_FIELD_UINT("millicpus", CYAML_FLAG_OPTIONAL, struct zr_resources,
			 millicpus),
	CYAML_FIELD_UINT("memory_mb", CYAML_FLAG_OPTIONAL, struct zr_resources,
			 memory_mb),
	CYAML_FIELD_UINT("accelerators", CYAML_FLAG_OPTIONAL,
			 struct zr_resources, accelerators),
	CYAML_FIELD_END};

static const cyaml_schema_field_t team_fields[] = {
	NAME_PTR("name", 0, struct zr_config_team, name),
	CYAML_FIELD_UINT("share", CYAML_FLAG_DEFAULT, struct zr_config_team,
			 share),
	CYAML_FIELD_MAPPING("limit", CYAML_FLAG_OPTIONAL, struct zr_config_team,
			    limit, limit_fields),
	CYAML_FIELD_END};

static const cyaml_schema_field_t queue_fields[] = {
	NAME_PTR("name", 0, struct zr_config_queue, name),
	CYAML_FIELD_BOOL("open", CYAML_FLAG_OPTIONAL, struct zr_config_queue,
			 open),
	NAME_PTR("team", CYAML_FLAG_OPTIONAL, struct zr_config_queue, team),
	CYAML_FIELD_UINT("worth", CYAML_FLAG_OPTIONAL, struct zr_config_queue,
			 worth),
	CYAML_FIELD_END};

static const cyaml_schema_field_t key_fields[] = {
	NAME_PTR("id", 0, struct zr_config_key, id),
	NAME_PTR("team", 0, struct zr_config_key, team),
	CYAML_FIELD_STRING_PTR("salt", CYAML_FLAG_POINTER, struct zr_config_key,
			       salt, 32, 32),
	CYAML_FIELD_STRING_PTR("sha256", CYAML_FLAG_POINTER,
			       struct zr_config_key, sha256, 64, 64),
	CYAML_FIELD_END};

static const cyaml_schema_value_t team_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct zr_config_team,
			    team_fields),
};

static const cyaml_schema_value_t queue_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct zr_config_queue,
			    queue_fields),
};

static const cyaml_schema_value_t key_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct zr_config_key,
			    key_fields),
};

static const cyaml_schema_field_t config_fields[] = {
	CYAML_FIELD_UINT("version", CYAML_FLAG_OPTIONAL, struct zr_config,
			 version),
	CYAML_FIELD_ENUM("policy", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
			 struct zr_config, policy, policies,
			 CYAML_ARRAY_LEN(policies)),
	CYAML_FIELD_SEQUENCE("teams", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     struct zr_config, teams, &team_schema, 0,
			     CYAML_UNLIMITED),
	CYAML_FIELD_SEQUENCE("queues", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     struct zr_config, queues, &queue_schema, 0,
			     CYAML_UNLIMITED),
	CYAML_FIELD_SEQUENCE("keys", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     struct zr_config, keys, &key_schema, 0,
			     CYAML_UNLIMITED),
	CYAML_FIELD_END};

const cyaml_schema_value_t zr_config_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct zr_config,
			    config_fields),
};

int zr_config_check(const struct zr_config *config, const char *source)
{
	uint32_t i;

	for (i = 0; i < config->queues_count; i++) {
		const struct zr_config_queue *queue = &config->queues[i];

		if (queue->open && !queue->team)
			return zr_error_set(ZR_E_INVALID,
					    "%s: open queue '%s' names no "
					    "team",
					    source, queue->name);
		if (queue->team && !zr_config_team(config, queue->team))
			return zr_error_set(ZR_E_INVALID,
					    "%s: queue '%s': there is no team "
					    "'%s'",
					    source, queue->name, queue->team);
	}
	for (i = 0; i < config->keys_count; i++) {
		const struct zr_config_key *key = &config->keys[i];

		if (!zr_config_team(config, key->team))
			return zr_error_set(ZR_E_INVALID,
					    "%s: key '%s': there is no team "
					    "'%s'",
					    source, key->id, key->team);
	}
	return 0;
}

int zr_config_parse(struct zr_config **out, const char *source,
		    const void *text, size_t length)
{
	struct zr_config *config;
	void *loaded;
	int error = zr_yaml_load_text(&loaded, source, text, length,
				      &zr_config_schema);

	if (error < 0)
		return error;
	config = loaded;
	error = zr_config_check(config, source);
	if (error < 0) {
		zr_config_free(config);
		return error;
	}
	*out = config;
	return 0;
}

int zr_config_print(char **out, size_t *out_length,
		    const struct zr_config *config)
{
	return zr_yaml_save_text(out, out_length, &zr_config_schema, config);
}

void zr_config_free(struct zr_config *config)
{
	zr_yaml_free(&zr_config_schema, config);
}

const struct zr_config_team *zr_config_team(const struct zr_config *config,
					    const char *name)
{
	uint32_t i;

	for (i = 0; i < config->teams_count; i++) {
		if (!strcmp(config->teams[i].name, name))
			return &config->teams[i];
	}
	return NULL;
}

const struct zr_config_queue *zr_config_queue(const struct zr_config *config,
					      const char *name)
{
	uint32_t i;

	for (i = 0; i < config->queues_count; i++) {
		if (!strcmp(config->queues[i].name, name))
			return &config->queues[i];
	}
	return NULL;
}

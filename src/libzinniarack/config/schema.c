#include "config/schema.h"

static const cyaml_strval_t policies[] = {
	{"waiting-first", ZR_POLICY_WAITING_FIRST},
	{"shares-first", ZR_POLICY_SHARES_FIRST},
};

static const cyaml_strval_t unconfirmed_policies[] = {
	{"refuse", ZR_UNCONFIRMED_REFUSE},
	{"accept", ZR_UNCONFIRMED_ACCEPT},
};

static const cyaml_strval_t roles[] = {
	{"team", ZR_KEY_TEAM},
	{"operator", ZR_KEY_OPERATOR},
};

static const cyaml_strval_t kinds[] = {
	{"batch", ZR_JOB_BATCH},
	{"service", ZR_JOB_SERVICE},
	{"gang", ZR_JOB_GANG},
};

#define NAME_PTR(key, flags, type, member)                              \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | (flags), type, \
			       member, 1, ZR_NAME_MAX - 1)
#define OPTIONAL_UINT(key, type, member) \
	CYAML_FIELD_UINT(key, CYAML_FLAG_OPTIONAL, type, member)
#define ITEMS(key, member, schema)                                          \
	CYAML_FIELD_SEQUENCE(key, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
			     struct zr_config, member, &(schema), 0,        \
			     CYAML_UNLIMITED)

/* Teams */

static const cyaml_schema_field_t limit_fields[] = {
	OPTIONAL_UINT("millicpus", struct zr_resources, millicpus),
	OPTIONAL_UINT("memory_mb", struct zr_resources, memory_mb),
	OPTIONAL_UINT("accelerators", struct zr_resources, accelerators),
	CYAML_FIELD_END};

static const cyaml_schema_field_t team_fields[] = {
	NAME_PTR("name", 0, struct zr_config_team, name),
	CYAML_FIELD_UINT("share", CYAML_FLAG_DEFAULT, struct zr_config_team,
			 share),
	CYAML_FIELD_MAPPING("limit", CYAML_FLAG_OPTIONAL, struct zr_config_team,
			    limit, limit_fields),
	CYAML_FIELD_END};

static const cyaml_schema_value_t team_schema = {CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct zr_config_team, team_fields)};

/* Queues */

static const cyaml_schema_field_t queue_fields[] = {
	NAME_PTR("name", 0, struct zr_config_queue, name),
	CYAML_FIELD_BOOL("open", CYAML_FLAG_OPTIONAL, struct zr_config_queue,
			 open),
	NAME_PTR("team", CYAML_FLAG_OPTIONAL, struct zr_config_queue, team),
	OPTIONAL_UINT("worth", struct zr_config_queue, worth), CYAML_FIELD_END};

static const cyaml_schema_value_t queue_schema = {CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct zr_config_queue, queue_fields)};

/* Keys */

static const cyaml_schema_field_t key_fields[] = {
	NAME_PTR("id", 0, struct zr_config_key, id),
	CYAML_FIELD_ENUM("role", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
			 struct zr_config_key, role, roles,
			 CYAML_ARRAY_LEN(roles)),
	NAME_PTR("team", CYAML_FLAG_OPTIONAL, struct zr_config_key, team),
	CYAML_FIELD_STRING_PTR("salt", CYAML_FLAG_POINTER, struct zr_config_key,
			       salt, 32, 32),
	CYAML_FIELD_STRING_PTR("sha256", CYAML_FLAG_POINTER,
			       struct zr_config_key, sha256, 64, 64),
	CYAML_FIELD_END};

static const cyaml_schema_value_t key_schema = {CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct zr_config_key, key_fields)};

/* Jobs */

static const cyaml_schema_value_t domain_name_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, ZR_NAME_MAX - 1)};

static const cyaml_schema_field_t job_fields[] = {
	NAME_PTR("name", 0, struct zr_config_job, name),
	NAME_PTR("team", 0, struct zr_config_job, team),
	NAME_PTR("queue", 0, struct zr_config_job, queue),
	CYAML_FIELD_ENUM("kind", CYAML_FLAG_STRICT, struct zr_config_job, kind,
			 kinds, CYAML_ARRAY_LEN(kinds)),
	OPTIONAL_UINT("tasks", struct zr_config_job, tasks),
	CYAML_FIELD_FLOAT("cpus", CYAML_FLAG_DEFAULT, struct zr_config_job,
			  cpus),
	OPTIONAL_UINT("memory_mb", struct zr_config_job, memory_mb),
	OPTIONAL_UINT("accelerators", struct zr_config_job, accelerators),
	OPTIONAL_UINT("worth", struct zr_config_job, worth),
	CYAML_FIELD_BOOL("urgent", CYAML_FLAG_OPTIONAL, struct zr_config_job,
			 urgent),
	OPTIONAL_UINT("run_ms", struct zr_config_job, run_ms),
	CYAML_FIELD_STRING_PTR("command", CYAML_FLAG_POINTER,
			       struct zr_config_job, command, 1,
			       ZR_COMMAND_MAX),
	CYAML_FIELD_SEQUENCE("failure_domains", CYAML_FLAG_POINTER,
			     struct zr_config_job, failure_domains,
			     &domain_name_schema, 1, CYAML_UNLIMITED),
	CYAML_FIELD_END};

static const cyaml_schema_value_t job_schema = {CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct zr_config_job, job_fields)};

/* Failure domains, drained workers and evacuated failure domains */

static const cyaml_schema_field_t name_fields[] = {
	NAME_PTR("name", 0, struct zr_config_name, name), CYAML_FIELD_END};

static const cyaml_schema_value_t name_schema = {CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct zr_config_name, name_fields)};

static const cyaml_schema_field_t domain_fields[] = {
	NAME_PTR("name", 0, struct zr_config_domain, name),
	CYAML_FIELD_BOOL("no_keys", CYAML_FLAG_OPTIONAL,
			 struct zr_config_domain, no_keys),
	CYAML_FIELD_END};

static const cyaml_schema_value_t domain_schema = {CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct zr_config_domain, domain_fields)};

/* Document */

static const cyaml_schema_field_t change_fields[] = {
	NAME_PTR("proposal", 0, struct zr_config_change, proposal),
	CYAML_FIELD_UINT("version", CYAML_FLAG_DEFAULT, struct zr_config_change,
			 version),
	NAME_PTR("author", 0, struct zr_config_change, author),
	CYAML_FIELD_END};

static const cyaml_schema_value_t change_schema = {CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct zr_config_change, change_fields)};

static const cyaml_schema_field_t key_check_fields[] = {
	CYAML_FIELD_ENUM("when_unconfirmed",
			 CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
			 __typeof__(((struct zr_config *)0)->key_check),
			 when_unconfirmed, unconfirmed_policies,
			 CYAML_ARRAY_LEN(unconfirmed_policies)),
	CYAML_FIELD_UINT("confirm_within_ms", CYAML_FLAG_OPTIONAL,
			 __typeof__(((struct zr_config *)0)->key_check),
			 confirm_within_ms),
	CYAML_FIELD_END};

/* Number of fields at the start of config_fields that only the system sets. */
#define SYSTEM_FIELDS 2

static const cyaml_schema_field_t config_fields[] = {
	CYAML_FIELD_UINT("version", CYAML_FLAG_OPTIONAL, struct zr_config,
			 version),
	ITEMS("history", history, change_schema),
	CYAML_FIELD_ENUM("policy", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
			 struct zr_config, policy, policies,
			 CYAML_ARRAY_LEN(policies)),
	CYAML_FIELD_MAPPING("key_check", CYAML_FLAG_OPTIONAL, struct zr_config,
			    key_check, key_check_fields),
	ITEMS("failure_domains", failure_domains, domain_schema),
	ITEMS("teams", teams, team_schema),
	ITEMS("queues", queues, queue_schema),
	ITEMS("keys", keys, key_schema),
	ITEMS("jobs", jobs, job_schema),
	ITEMS("drained", drained, name_schema),
	ITEMS("evacuated", evacuated, name_schema),
	CYAML_FIELD_END};

const cyaml_schema_value_t zr_config_schema = {CYAML_VALUE_MAPPING(
	CYAML_FLAG_POINTER, struct zr_config, config_fields)};

const cyaml_schema_value_t zr_config_file_schema = {CYAML_VALUE_MAPPING(
	CYAML_FLAG_POINTER, struct zr_config, config_fields + SYSTEM_FIELDS)};

#define UINT_MAX_VALUE 4294967295.0
#define RANGE(path, min, max, unit, absent)                 \
	{                                                   \
		path, ZR_RULE_RANGE, min, max, unit, absent \
	}
#define NAME(path, absent)                             \
	{                                              \
		path, ZR_RULE_NAME, 0, 0, NULL, absent \
	}
#define ANY(path, absent)                             \
	{                                             \
		path, ZR_RULE_ANY, 0, 0, NULL, absent \
	}
#define HEX(path)                                   \
	{                                           \
		path, ZR_RULE_HEX, 0, 0, NULL, NULL \
	}

const struct zr_field_rule zr_config_rules[] = {
	RANGE("version", 0, 1e15, NULL, "0"),
	NAME("history[].proposal", NULL),
	RANGE("history[].version", 1, 1e15, NULL, NULL),
	NAME("history[].author", NULL),
	ANY("policy", "waiting-first"),
	ANY("key_check.when_unconfirmed", "refuse"),
	RANGE("key_check.confirm_within_ms", 1000, 600000, "ms", "5000"),
	NAME("failure_domains[].name", NULL),
	ANY("failure_domains[].no_keys", "false"),
	NAME("teams[].name", NULL),
	RANGE("teams[].share", 1, 1000000, NULL, NULL),
	RANGE("teams[].limit.millicpus", 0, UINT_MAX_VALUE,
	      "thousandths of a processor", "no limit"),
	RANGE("teams[].limit.memory_mb", 0, UINT_MAX_VALUE, "MiB", "no limit"),
	RANGE("teams[].limit.accelerators", 0, 1000000, "accelerators",
	      "no limit"),
	NAME("queues[].name", NULL),
	ANY("queues[].open", "false"),
	NAME("queues[].team", "any team"),
	RANGE("queues[].worth", 0, ZR_WORTH_MAX, NULL, "0"),
	NAME("keys[].id", NULL),
	ANY("keys[].role", "team"),
	NAME("keys[].team", "none"),
	HEX("keys[].salt"),
	HEX("keys[].sha256"),
	NAME("jobs[].name", NULL),
	NAME("jobs[].team", NULL),
	NAME("jobs[].queue", NULL),
	ANY("jobs[].kind", NULL),
	RANGE("jobs[].tasks", 1, ZR_JOB_TASKS_MAX, "tasks", "1"),
	RANGE("jobs[].cpus", 0.001, 10000, "processors", NULL),
	RANGE("jobs[].memory_mb", 0, 1073741824, "MiB", "0"),
	RANGE("jobs[].accelerators", 0, 1024, "accelerators", "0"),
	RANGE("jobs[].worth", 0, ZR_WORTH_MAX, NULL, "0"),
	ANY("jobs[].urgent", "false"),
	RANGE("jobs[].run_ms", 0, 31622400000.0, "ms", "unknown"),
	ANY("jobs[].command", NULL),
	NAME("jobs[].failure_domains[]", NULL),
	NAME("drained[].name", NULL),
	NAME("evacuated[].name", NULL),
	{NULL, ZR_RULE_ANY, 0, 0, NULL, NULL},
};

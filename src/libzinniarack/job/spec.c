#include "zinniarack/job.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

/* Idempotency keys of jobs that the configuration declares begin with this. */
#define RESERVED_KEY_PREFIX "declared/"
#define RUN_MS_MAX 31622400000 /* 366 days */

static const char *const known_fields[] = {
	"name",	   "queue",	      "kind",	      "tasks",
	"cpus",	   "memory_mb",	      "accelerators", "worth",
	"urgent",  "at_most_once",    "run_ms",	      "deadline_ms",
	"command", "idempotency_key",
};

static int check_fields(json_t *object)
{
	size_t count = sizeof(known_fields) / sizeof(known_fields[0]);
	const char *key;
	json_t *value;
	size_t i;

	json_object_foreach (object, key, value) {
		for (i = 0; i < count; i++) {
			if (!strcmp(key, known_fields[i]))
				break;
		}
		if (i == count)
			return zr_error_set(ZR_E_INVALID, "unknown field '%s'",
					    key);
	}
	return 0;
}

static int read_text(char *out, size_t size, json_t *object, const char *field,
		     bool required)
{
	json_t *value = json_object_get(object, field);

	out[0] = '\0';
	if (!value && !required)
		return 0;
	if (!json_is_string(value) || !json_string_length(value) ||
	    json_string_length(value) >= size)
		return zr_error_set(ZR_E_INVALID,
				    "field '%s': a string of 1 to %zu bytes "
				    "is expected",
				    field, size - 1);
	memcpy(out, json_string_value(value), json_string_length(value) + 1);
	return 0;
}

static int read_integer(json_int_t *out, json_t *object, const char *field,
			json_int_t min, json_int_t max,
			json_int_t default_value)
{
	json_t *value = json_object_get(object, field);

	*out = default_value;
	if (!value)
		return 0;
	if (!json_is_integer(value) || json_integer_value(value) < min ||
	    json_integer_value(value) > max)
		return zr_error_set(ZR_E_INVALID,
				    "field '%s': an integer from "
				    "%" JSON_INTEGER_FORMAT
				    " to %" JSON_INTEGER_FORMAT " is expected",
				    field, min, max);
	*out = json_integer_value(value);
	return 0;
}

static int read_bool(bool *out, json_t *object, const char *field)
{
	json_t *value = json_object_get(object, field);

	*out = json_is_true(value);
	if (value && !json_is_boolean(value))
		return zr_error_set(ZR_E_INVALID,
				    "field '%s': true or false is expected",
				    field);
	return 0;
}

static int read_kind(enum zr_job_kind *out, json_t *object)
{
	const char *kind = json_string_value(json_object_get(object, "kind"));
	int i;

	for (i = ZR_JOB_BATCH; kind && i <= ZR_JOB_GANG; i++) {
		if (!strcmp(kind, zr_job_kind_name(i))) {
			*out = i;
			return 0;
		}
	}
	return zr_error_set(ZR_E_INVALID, "field 'kind': 'batch', 'service' "
					  "or 'gang' is expected");
}

static int read_cpus(uint32_t *out, json_t *object)
{
	json_t *value = json_object_get(object, "cpus");
	double cpus = json_number_value(value);

	if (!json_is_number(value) || cpus < 0.001 || cpus > 10000)
		return zr_error_set(ZR_E_INVALID, "field 'cpus': a number "
						  "from 0.001 to 10000 is "
						  "expected");
	*out = (uint32_t)(cpus * 1000 + 0.5);
	return 0;
}

static int read_numbers(struct zr_job_spec *out, json_t *object)
{
	json_int_t tasks;
	json_int_t memory_mb;
	json_int_t accelerators;
	json_int_t worth;
	json_int_t run_ms;
	json_int_t deadline_ms;
	int error;

	if ((error = read_integer(&tasks, object, "tasks", 1, ZR_JOB_TASKS_MAX,
				  1)) < 0 ||
	    (error = read_integer(&memory_mb, object, "memory_mb", 0, 1 << 30,
				  0)) < 0 ||
	    (error = read_integer(&accelerators, object, "accelerators", 0,
				  1024, 0)) < 0 ||
	    (error = read_integer(&worth, object, "worth", 0, ZR_WORTH_MAX,
				  0)) < 0 ||
	    (error = read_integer(&run_ms, object, "run_ms", 0, RUN_MS_MAX,
				  0)) < 0 ||
	    (error = read_integer(&deadline_ms, object, "deadline_ms", 0,
				  INT64_MAX, 0)) < 0)
		return error;
	out->tasks = (uint32_t)tasks;
	out->size.memory_mb = (uint32_t)memory_mb;
	out->size.accelerators = (uint32_t)accelerators;
	out->worth = (uint32_t)worth;
	out->run_ms = (uint64_t)run_ms;
	out->deadline_ms = deadline_ms;
	return 0;
}

static int read_command(char **out, json_t *object)
{
	json_t *value = json_object_get(object, "command");

	if (!json_is_string(value) ||
	    json_string_length(value) > ZR_COMMAND_MAX)
		return zr_error_set(ZR_E_INVALID,
				    "field 'command': a string of at most %d "
				    "bytes is expected",
				    ZR_COMMAND_MAX);
	*out = strdup(json_string_value(value));
	return *out ? 0 : ZR_E_NOMEM;
}

static int check_idempotency_key(const struct zr_job_spec *spec)
{
	if (!strncmp(spec->idempotency_key, RESERVED_KEY_PREFIX,
		     strlen(RESERVED_KEY_PREFIX)))
		return zr_error_set(ZR_E_INVALID,
				    "field 'idempotency_key': keys that begin "
				    "with '" RESERVED_KEY_PREFIX
				    "' are reserved");
	return 0;
}

static int read_spec(struct zr_job_spec *out, json_t *object)
{
	int error;

	if (!json_is_object(object))
		return zr_error_set(ZR_E_INVALID, "a JSON object is expected");
	if ((error = check_fields(object)) < 0 ||
	    (error = read_text(out->name, sizeof(out->name), object, "name",
			       true)) < 0 ||
	    (error = read_text(out->queue, sizeof(out->queue), object, "queue",
			       true)) < 0 ||
	    (error = read_text(out->idempotency_key,
			       sizeof(out->idempotency_key), object,
			       "idempotency_key", false)) < 0 ||
	    (error = check_idempotency_key(out)) < 0 ||
	    (error = read_kind(&out->kind, object)) < 0 ||
	    (error = read_cpus(&out->size.millicpus, object)) < 0 ||
	    (error = read_numbers(out, object)) < 0 ||
	    (error = read_bool(&out->urgent, object, "urgent")) < 0 ||
	    (error = read_bool(&out->at_most_once, object, "at_most_once")) < 0)
		return error;
	return read_command(&out->command, object);
}

int zr_job_spec_parse(struct zr_job_spec *out, const void *text, size_t length)
{
	json_error_t json_error;
	json_t *object;
	int error;

	memset(out, 0, sizeof(*out));
	object = json_loadb(text, length, JSON_REJECT_DUPLICATES, &json_error);
	if (!object)
		return zr_error_set(ZR_E_INVALID, "not JSON: line %d: %s",
				    json_error.line, json_error.text);
	error = read_spec(out, object);
	json_decref(object);
	return error;
}

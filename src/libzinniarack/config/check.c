#include "config/check.h"

#include <errno.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

#define ALLOWED_TEXT_MAX 256 /* bytes of a description of allowed values */
#define SHOWN_VALUE_MAX 40   /* bytes of an invalid value in error texts */

/* Arguments of zr_check_node() that are the same for all nodes. */
struct check_context {
	const char *source;
	yaml_document_t *document;
	const struct zr_field_rule *rules;
};

/* Parsing */

static int set_yaml_error(const char *source, const yaml_parser_t *parser)
{
	return zr_error_set(ZR_E_INVALID, "%s:%zu: not YAML: %s", source,
			    parser->problem_mark.line + 1,
			    parser->problem ? parser->problem : "unreadable");
}

/* Nested aliases could expand a small file to a huge document. */
static int check_no_aliases(const char *source, const void *text, size_t length)
{
	yaml_event_type_t type = YAML_NO_EVENT;
	yaml_parser_t parser;
	yaml_event_t event;
	int error = 0;

	if (!yaml_parser_initialize(&parser))
		return ZR_E_NOMEM;
	yaml_parser_set_input_string(&parser, text, length);
	while (!error && type != YAML_STREAM_END_EVENT) {
		if (!yaml_parser_parse(&parser, &event)) {
			error = set_yaml_error(source, &parser);
			break;
		}
		type = event.type;
		if (type == YAML_ALIAS_EVENT)
			error = zr_error_set(ZR_E_INVALID,
					     "%s:%zu: aliases are not allowed; "
					     "write the value out",
					     source, event.start_mark.line + 1);
		yaml_event_delete(&event);
	}
	yaml_parser_delete(&parser);
	return error;
}

int zr_check_parse(yaml_document_t *out, const char *source, const void *text,
		   size_t length)
{
	yaml_parser_t parser;
	int error = check_no_aliases(source, text, length);

	if (error < 0)
		return error;
	if (!yaml_parser_initialize(&parser))
		return ZR_E_NOMEM;
	yaml_parser_set_input_string(&parser, text, length);
	if (!yaml_parser_load(&parser, out))
		error = set_yaml_error(source, &parser);
	yaml_parser_delete(&parser);
	if (error < 0)
		return error;
	if (!yaml_document_get_root_node(out)) {
		yaml_document_delete(out);
		return zr_error_set(ZR_E_INVALID, "%s: is empty", source);
	}
	return 0;
}

size_t zr_check_node_line(const yaml_node_t *node)
{
	return node->start_mark.line + 1;
}

const char *zr_check_scalar_text(const yaml_node_t *node)
{
	if (!node || node->type != YAML_SCALAR_NODE)
		return NULL;
	return (const char *)node->data.scalar.value;
}

yaml_node_t *zr_check_find_child(yaml_document_t *document,
				 const yaml_node_t *node, const char *key)
{
	yaml_node_pair_t *pair;

	if (node->type != YAML_MAPPING_NODE)
		return NULL;
	for (pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		const char *name = zr_check_scalar_text(
			yaml_document_get_node(document, pair->key));

		if (name && !strcmp(name, key))
			return yaml_document_get_node(document, pair->value);
	}
	return NULL;
}

/* Error texts */

static int set_value_error(const struct check_context *context,
			   const yaml_node_t *node, const char *path,
			   const char *allowed)
{
	const char *text = zr_check_scalar_text(node);

	if (!text)
		return zr_error_set(ZR_E_INVALID,
				    "%s:%zu: field '%s': expected %s",
				    context->source, zr_check_node_line(node),
				    *path ? path : "(document)", allowed);
	return zr_error_set(ZR_E_INVALID,
			    "%s:%zu: field '%s': '%.*s' is not allowed; "
			    "expected %s",
			    context->source, zr_check_node_line(node), path,
			    SHOWN_VALUE_MAX, text, allowed);
}

/* Describes what is allowed by the type and by the rule of the field. */
static int set_rule_error(const struct check_context *context,
			  const yaml_node_t *node, const char *path,
			  const char *type)
{
	const struct zr_field_rule *rule =
		zr_field_rule_find(context->rules, path);
	char allowed[ALLOWED_TEXT_MAX];
	char range[ALLOWED_TEXT_MAX / 2];

	if (!rule || rule->kind == ZR_RULE_ANY)
		return set_value_error(context, node, path, type);
	zr_rule_describe(range, sizeof(range), rule);
	snprintf(allowed, sizeof(allowed), "%s: %s", type, range);
	return set_value_error(context, node, path, allowed);
}

/* Scalars */

static bool is_integer(const char *text, bool is_signed)
{
	char *end;

	if (is_signed && *text == '-')
		text++;
	/* libcyaml would parse a leading zero as an octal number. */
	if (*text < '0' || *text > '9' || (*text == '0' && text[1]))
		return false;
	errno = 0;
	strtoull(text, &end, 10);
	return !*end && !errno;
}

static bool is_float(const char *text)
{
	char *end;

	strtod(text, &end);
	return end != text && !*end;
}

static bool is_bool(const char *text)
{
	return !strcmp(text, "true") || !strcmp(text, "false");
}

static bool is_enum(const cyaml_schema_value_t *schema, const char *text)
{
	uint32_t i;

	for (i = 0; i < schema->enumeration.count; i++) {
		if (!strcmp(schema->enumeration.strings[i].str, text))
			return true;
	}
	return false;
}

static void describe_enum(char *out, size_t size,
			  const cyaml_schema_value_t *schema)
{
	size_t used = 0;
	uint32_t i;

	out[0] = '\0';
	for (i = 0; i < schema->enumeration.count && used < size; i++)
		used += (size_t)snprintf(out + used, size - used, "%s%s",
					 i ? " or " : "",
					 schema->enumeration.strings[i].str);
}

/* Describes the schema's type in @type; returns whether @text has that type. */
static bool check_type(char *type, size_t size,
		       const cyaml_schema_value_t *schema, const char *text)
{
	switch (schema->type) {
	case CYAML_INT:
	case CYAML_UINT:
		snprintf(type, size, "an integer");
		return is_integer(text, schema->type == CYAML_INT);
	case CYAML_FLOAT:
		snprintf(type, size, "a number");
		return is_float(text);
	case CYAML_BOOL:
		snprintf(type, size, "true or false");
		return is_bool(text);
	case CYAML_ENUM:
		describe_enum(type, size, schema);
		return is_enum(schema, text);
	default:
		snprintf(type, size, "a text of %u to %u bytes",
			 schema->string.min, schema->string.max);
		return strlen(text) >= schema->string.min &&
		       strlen(text) <= schema->string.max;
	}
}

static int check_scalar(const struct check_context *context, yaml_node_t *node,
			const char *path, const cyaml_schema_value_t *schema)
{
	const struct zr_field_rule *rule =
		zr_field_rule_find(context->rules, path);
	const char *text = zr_check_scalar_text(node);
	char type[ALLOWED_TEXT_MAX / 2];
	bool has_type =
		check_type(type, sizeof(type), schema, text ? text : "");

	if (!text)
		return set_rule_error(context, node, path, type);
	if (!has_type || (rule && !zr_rule_allows(rule, text)))
		return set_rule_error(context, node, path, type);
	if (strlen(text) != node->data.scalar.length)
		return set_value_error(context, node, path, "no NUL byte");
	return 0;
}

/* Mappings and sequences */

static int check_value(const struct check_context *context, yaml_node_t *node,
		       const char *path, const cyaml_schema_value_t *schema);

static const cyaml_schema_field_t *
find_field(const cyaml_schema_value_t *schema, const char *key)
{
	const cyaml_schema_field_t *field;

	for (field = schema->mapping.fields; field->key; field++) {
		if (!strcmp(field->key, key))
			return field;
	}
	return NULL;
}

static int set_unknown_field_error(const struct check_context *context,
				   const yaml_node_t *key, const char *path,
				   const cyaml_schema_value_t *schema)
{
	const cyaml_schema_field_t *field;
	char fields[ALLOWED_TEXT_MAX] = "";
	size_t used = 0;

	for (field = schema->mapping.fields; field->key; field++) {
		if (used < sizeof(fields))
			used += (size_t)snprintf(fields + used,
						 sizeof(fields) - used, "%s%s",
						 used ? ", " : "", field->key);
	}
	return zr_error_set(
		ZR_E_INVALID, "%s:%zu: field '%s': unknown; expected one of %s",
		context->source, zr_check_node_line(key), path, fields);
}

static void join_path(char out[ZR_FIELD_PATH_MAX], const char *path,
		      const char *key)
{
	snprintf(out, ZR_FIELD_PATH_MAX, "%s%s%s", path, *path ? "." : "", key);
}

static int check_pair(const struct check_context *context,
		      const yaml_node_t *node, const yaml_node_pair_t *pair,
		      const char *path, const cyaml_schema_value_t *schema)
{
	yaml_node_t *key = yaml_document_get_node(context->document, pair->key);
	yaml_node_t *value =
		yaml_document_get_node(context->document, pair->value);
	const char *name = zr_check_scalar_text(key);
	const cyaml_schema_field_t *field;
	char child_path[ZR_FIELD_PATH_MAX];

	if (!key || !name)
		return set_value_error(context, node, path, "field names");
	join_path(child_path, path, name);
	field = find_field(schema, name);
	if (!field)
		return set_unknown_field_error(context, key, child_path,
					       schema);
	if (zr_check_find_child(context->document, node, name) != value)
		return zr_error_set(ZR_E_INVALID,
				    "%s:%zu: field '%s': given twice; expected "
				    "once",
				    context->source, zr_check_node_line(key),
				    child_path);
	return check_value(context, value, child_path, &field->value);
}

static int check_mapping(const struct check_context *context, yaml_node_t *node,
			 const char *path, const cyaml_schema_value_t *schema)
{
	const cyaml_schema_field_t *field;
	char child_path[ZR_FIELD_PATH_MAX];
	yaml_node_pair_t *pair;
	int error;

	if (node->type != YAML_MAPPING_NODE)
		return set_value_error(context, node, path,
				       "a mapping of fields");
	for (pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		error = check_pair(context, node, pair, path, schema);
		if (error < 0)
			return error;
	}
	for (field = schema->mapping.fields; field->key; field++) {
		if ((field->value.flags & CYAML_FLAG_OPTIONAL) ||
		    zr_check_find_child(context->document, node, field->key))
			continue;
		join_path(child_path, path, field->key);
		return zr_error_set(ZR_E_INVALID,
				    "%s:%zu: field '%s': missing; it is "
				    "required",
				    context->source, zr_check_node_line(node),
				    child_path);
	}
	return 0;
}

static int check_sequence(const struct check_context *context,
			  yaml_node_t *node, const char *path,
			  const cyaml_schema_value_t *schema)
{
	char child_path[ZR_FIELD_PATH_MAX];
	yaml_node_item_t *item;
	int error;

	if (node->type != YAML_SEQUENCE_NODE)
		return set_value_error(context, node, path, "a list");
	snprintf(child_path, sizeof(child_path), "%s[]", path);
	for (item = node->data.sequence.items.start;
	     item < node->data.sequence.items.top; item++) {
		error = check_value(
			context,
			yaml_document_get_node(context->document, *item),
			child_path, schema->sequence.entry);
		if (error < 0)
			return error;
	}
	return 0;
}

static int check_value(const struct check_context *context, yaml_node_t *node,
		       const char *path, const cyaml_schema_value_t *schema)
{
	if (!node)
		return zr_error_set(ZR_E_INVALID, "%s: field '%s': no value",
				    context->source, path);
	switch (schema->type) {
	case CYAML_MAPPING:
		return check_mapping(context, node, path, schema);
	case CYAML_SEQUENCE:
		return check_sequence(context, node, path, schema);
	case CYAML_IGNORE:
		return 0;
	default:
		return check_scalar(context, node, path, schema);
	}
}

int zr_check_node(const char *source, yaml_document_t *document,
		  yaml_node_t *node, const char *path,
		  const cyaml_schema_value_t *schema,
		  const struct zr_field_rule *rules)
{
	const struct check_context context = {source, document, rules};

	return check_value(&context, node, path, schema);
}

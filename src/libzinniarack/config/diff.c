#include <stdbool.h>
#include <string.h>

#include "config/schema.h"

const char *zr_config_difference_name(enum zr_config_difference difference)
{
	static const char *const names[] = {"added", "removed", "changed"};

	return names[difference];
}

const char *zr_config_author(const struct zr_config *config)
{
	if (!config || !config->history_count)
		return "";
	return config->history[config->history_count - 1].author;
}

/* Comparison of loaded values by their libcyaml schema */

static bool is_equal(const cyaml_schema_value_t *schema, const void *a,
		     const void *b);

static uint32_t list_count(const cyaml_schema_field_t *field, const void *data)
{
	uint32_t count;

	memcpy(&count, (const char *)data + field->count_offset, sizeof(count));
	return count;
}

/*
 * Returns the address of a field's value, whether the struct holds the value or
 * a pointer to it.
 */
static const char *field_value(const cyaml_schema_field_t *field,
			       const void *data)
{
	const char *member = (const char *)data + field->data_offset;

	return field->value.flags & CYAML_FLAG_POINTER ? *(char *const *)member
						       : member;
}

static const char *list_entry(const cyaml_schema_value_t *schema,
			      const char *entries, uint32_t index)
{
	if (schema->flags & CYAML_FLAG_POINTER)
		return ((char *const *)entries)[index];
	return entries + (size_t)index * schema->data_size;
}

static bool lists_equal(const cyaml_schema_field_t *field, const void *a,
			const void *b)
{
	const cyaml_schema_value_t *schema = field->value.sequence.entry;
	uint32_t count = list_count(field, a);
	uint32_t i;

	if (count != list_count(field, b))
		return false;
	for (i = 0; i < count; i++) {
		if (!is_equal(schema,
			      list_entry(schema, field_value(field, a), i),
			      list_entry(schema, field_value(field, b), i)))
			return false;
	}
	return true;
}

static bool fields_equal(const cyaml_schema_field_t *field, const void *a,
			 const void *b)
{
	const char *value_a;
	const char *value_b;

	if (field->value.type == CYAML_SEQUENCE)
		return lists_equal(field, a, b);
	value_a = field_value(field, a);
	value_b = field_value(field, b);
	if (!value_a || !value_b)
		return value_a == value_b;
	return is_equal(&field->value, value_a, value_b);
}

static bool is_equal(const cyaml_schema_value_t *schema, const void *a,
		     const void *b)
{
	const cyaml_schema_field_t *field;

	if (schema->type == CYAML_STRING)
		return !strcmp(a, b);
	if (schema->type != CYAML_MAPPING)
		return !memcmp(a, b, schema->data_size);
	for (field = schema->mapping.fields; field->key; field++) {
		if (!fields_equal(field, a, b))
			return false;
	}
	return true;
}

/* Items; the first member of each is the pointer to its name */

static const char *item_name(const void *item)
{
	return *(char *const *)item;
}

static const char *find_item(const cyaml_schema_field_t *field,
			     const struct zr_config *config, const char *name)
{
	uint32_t count = list_count(field, config);
	uint32_t i;

	for (i = 0; i < count; i++) {
		const char *item = list_entry(field->value.sequence.entry,
					      field_value(field, config), i);

		if (!strcmp(item_name(item), name))
			return item;
	}
	return NULL;
}

static void diff_items(const cyaml_schema_field_t *field,
		       const struct zr_config *from, const struct zr_config *to,
		       zr_config_difference_fn callback, void *ctx)
{
	const cyaml_schema_value_t *schema = field->value.sequence.entry;
	const char *item;
	const char *other;
	uint32_t i;

	for (i = 0; i < list_count(field, from); i++) {
		item = list_entry(schema, field_value(field, from), i);
		if (!find_item(field, to, item_name(item)))
			callback(ctx, field->key, item_name(item),
				 ZR_CONFIG_REMOVED);
	}
	for (i = 0; i < list_count(field, to); i++) {
		item = list_entry(schema, field_value(field, to), i);
		other = find_item(field, from, item_name(item));
		if (!other)
			callback(ctx, field->key, item_name(item),
				 ZR_CONFIG_ADDED);
		else if (!is_equal(schema, item, other))
			callback(ctx, field->key, item_name(item),
				 ZR_CONFIG_CHANGED);
	}
}

void zr_config_diff(const struct zr_config *from, const struct zr_config *to,
		    zr_config_difference_fn callback, void *ctx)
{
	const cyaml_schema_field_t *field;
	struct zr_config empty = {0};

	if (!from) {
		zr_config_fill_defaults(&empty);
		from = &empty;
	}
	for (field = zr_config_file_schema.mapping.fields; field->key;
	     field++) {
		if (field->value.type == CYAML_SEQUENCE)
			diff_items(field, from, to, callback, ctx);
		else if (!fields_equal(field, from, to))
			callback(ctx, field->key, NULL, ZR_CONFIG_CHANGED);
	}
}

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

static bool same(const cyaml_schema_value_t *schema, const void *a,
		 const void *b);

static uint32_t count_of(const cyaml_schema_field_t *field, const void *row)
{
	uint32_t count;

	memcpy(&count, (const char *)row + field->count_offset, sizeof(count));
	return count;
}

/* Where a field's value is; through its pointer when it has one. */
static const char *value_of(const cyaml_schema_field_t *field, const void *row)
{
	const char *at = (const char *)row + field->data_offset;

	return field->value.flags & CYAML_FLAG_POINTER ? *(char *const *)at
						       : at;
}

static const char *entry_of(const cyaml_schema_value_t *schema,
			    const char *entries, uint32_t index)
{
	if (schema->flags & CYAML_FLAG_POINTER)
		return ((char *const *)entries)[index];
	return entries + (size_t)index * schema->data_size;
}

static bool same_list(const cyaml_schema_field_t *field, const void *a,
		      const void *b)
{
	const cyaml_schema_value_t *schema = field->value.sequence.entry;
	uint32_t count = count_of(field, a);
	uint32_t i;

	if (count != count_of(field, b))
		return false;
	for (i = 0; i < count; i++) {
		if (!same(schema, entry_of(schema, value_of(field, a), i),
			  entry_of(schema, value_of(field, b), i)))
			return false;
	}
	return true;
}

static bool same_field(const cyaml_schema_field_t *field, const void *a,
		       const void *b)
{
	const char *at_a;
	const char *at_b;

	if (field->value.type == CYAML_SEQUENCE)
		return same_list(field, a, b);
	at_a = value_of(field, a);
	at_b = value_of(field, b);
	if (!at_a || !at_b)
		return at_a == at_b;
	return same(&field->value, at_a, at_b);
}

static bool same(const cyaml_schema_value_t *schema, const void *a,
		 const void *b)
{
	const cyaml_schema_field_t *field;

	if (schema->type == CYAML_STRING)
		return !strcmp(a, b);
	if (schema->type != CYAML_MAPPING)
		return !memcmp(a, b, schema->data_size);
	for (field = schema->mapping.fields; field->key; field++) {
		if (!same_field(field, a, b))
			return false;
	}
	return true;
}

/* Items, which begin with the pointer to their name */

static const char *name_of(const void *item)
{
	return *(char *const *)item;
}

static const char *find_item(const cyaml_schema_field_t *field,
			     const struct zr_config *config, const char *name)
{
	uint32_t count = count_of(field, config);
	uint32_t i;

	for (i = 0; i < count; i++) {
		const char *item = entry_of(field->value.sequence.entry,
					    value_of(field, config), i);

		if (!strcmp(name_of(item), name))
			return item;
	}
	return NULL;
}

static void diff_items(const cyaml_schema_field_t *field,
		       const struct zr_config *from, const struct zr_config *to,
		       zr_config_difference_fn each, void *ctx)
{
	const cyaml_schema_value_t *schema = field->value.sequence.entry;
	const char *item;
	const char *other;
	uint32_t i;

	for (i = 0; i < count_of(field, from); i++) {
		item = entry_of(schema, value_of(field, from), i);
		if (!find_item(field, to, name_of(item)))
			each(ctx, field->key, name_of(item), ZR_CONFIG_REMOVED);
	}
	for (i = 0; i < count_of(field, to); i++) {
		item = entry_of(schema, value_of(field, to), i);
		other = find_item(field, from, name_of(item));
		if (!other)
			each(ctx, field->key, name_of(item), ZR_CONFIG_ADDED);
		else if (!same(schema, item, other))
			each(ctx, field->key, name_of(item), ZR_CONFIG_CHANGED);
	}
}

void zr_config_diff(const struct zr_config *from, const struct zr_config *to,
		    zr_config_difference_fn each, void *ctx)
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
			diff_items(field, from, to, each, ctx);
		else if (!same_field(field, from, to))
			each(ctx, field->key, NULL, ZR_CONFIG_CHANGED);
	}
}

#include "config/merge_private.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "config/check.h"
#include "zinniarack/errors.h"

/* How a declaration affects an earlier one of the same name. */
enum merge_mode {
	MERGE_DECLARE, /* none may exist */
	MERGE_REPLACE, /* takes its place */
	MERGE_REMOVE,  /* removes it */
};

int zr_merge_new(struct zr_merge **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0 : ZR_E_NOMEM;
}

/* Declarations */

static struct declaration *find_declaration(const struct zr_merge *merge,
					    const char *section,
					    const char *name)
{
	struct declaration *entry;

	DL_FOREACH(merge->declarations, entry)
	{
		if (!strcmp(entry->section, section) && !entry->name == !name &&
		    (!name || !strcmp(entry->name, name)))
			return entry;
	}
	return NULL;
}

static int set_duplicate_error(const struct declaration *earlier,
			       const struct declaration *added)
{
	return zr_error_set(
		ZR_E_CONFLICT,
		"%s:%zu: %s%s%s%s is declared in %s:%zu too; "
		"expected once, or 'replace: %s' here",
		added->source->path, zr_check_node_line(added->node),
		added->section, added->name ? " '" : "",
		added->name ? added->name : "", added->name ? "'" : "",
		earlier->source->path, zr_check_node_line(earlier->node),
		added->name ? "true" : "[FIELD]");
}

static int set_undeclared_error(const struct declaration *added,
				const char *action)
{
	return zr_error_set(ZR_E_INVALID,
			    "%s:%zu: %s '%s': nothing to %s; expected an item "
			    "declared in an earlier file",
			    added->source->path,
			    zr_check_node_line(added->node), added->section,
			    added->name ? added->name : "", action);
}

static int add_declaration(struct zr_merge *merge,
			   const struct declaration *added)
{
	struct declaration *declaration = malloc(sizeof(*declaration));

	if (!declaration)
		return ZR_E_NOMEM;
	*declaration = *added;
	DL_APPEND(merge->declarations, declaration);
	return 0;
}

static int merge_declaration(struct zr_merge *merge,
			     const struct declaration *added,
			     enum merge_mode mode)
{
	struct declaration *earlier =
		find_declaration(merge, added->section, added->name);

	if (mode == MERGE_DECLARE)
		return earlier ? set_duplicate_error(earlier, added)
			       : add_declaration(merge, added);
	if (!earlier || earlier->source == added->source)
		return set_undeclared_error(
			added, mode == MERGE_REMOVE ? "remove" : "replace");
	if (mode == MERGE_REMOVE) {
		DL_DELETE(merge->declarations, earlier);
		free(earlier);
		return 0;
	}
	earlier->source = added->source;
	earlier->name = added->name;
	earlier->node = added->node;
	return 0;
}

/* The flags `replace: true` and `remove: true` of an item */

static void remove_pair(yaml_node_t *node, yaml_node_pair_t *pair)
{
	yaml_node_pair_t *top = --node->data.mapping.pairs.top;

	memmove(pair, pair + 1, (size_t)(top - pair) * sizeof(*pair));
}

/* Removes a field from a mapping and returns its value; NULL if absent. */
static yaml_node_t *extract_child(yaml_document_t *document, yaml_node_t *node,
				  const char *key)
{
	yaml_node_t *value = zr_check_find_child(document, node, key);
	yaml_node_pair_t *pair;

	if (!value)
		return NULL;
	pair = node->data.mapping.pairs.start;
	while (yaml_document_get_node(document, pair->value) != value)
		pair++;
	remove_pair(node, pair);
	return value;
}

static int extract_flag(bool *out, struct source *source, yaml_node_t *item,
			const char *section, const char *flag)
{
	yaml_node_t *value = extract_child(&source->document, item, flag);
	const char *text = zr_check_scalar_text(value);

	*out = value != NULL;
	if (!value || (text && !strcmp(text, "true")))
		return 0;
	return zr_error_set(ZR_E_INVALID,
			    "%s:%zu: field '%s[].%s': expected true, or no "
			    "such field",
			    source->path, zr_check_node_line(value), section,
			    flag);
}

static int extract_mode(enum merge_mode *out, struct source *source,
			yaml_node_t *item, const char *section)
{
	bool replace;
	bool remove;
	int error;

	*out = MERGE_DECLARE;
	if (item->type != YAML_MAPPING_NODE)
		return 0;
	if ((error = extract_flag(&replace, source, item, section, "replace")) <
		    0 ||
	    (error = extract_flag(&remove, source, item, section, "remove")) <
		    0)
		return error;
	if (replace && remove)
		return zr_error_set(ZR_E_INVALID,
				    "%s:%zu: field '%s[].remove': not allowed "
				    "together with 'replace'; expected one of "
				    "them",
				    source->path, zr_check_node_line(item),
				    section);
	*out = replace ? MERGE_REPLACE : remove ? MERGE_REMOVE : MERGE_DECLARE;
	return 0;
}

/* Items */

static int check_removal(const struct source *source, const yaml_node_t *item,
			 const char *section, const char *id)
{
	const yaml_node_pair_t *pairs = item->data.mapping.pairs.start;

	if (item->data.mapping.pairs.top - pairs == 1)
		return 0;
	return zr_error_set(ZR_E_INVALID,
			    "%s:%zu: field '%s[].remove': the item has other "
			    "fields; expected only '%s' and 'remove'",
			    source->path, zr_check_node_line(item), section,
			    id);
}

static int merge_item(struct zr_merge *merge, struct source *source,
		      yaml_node_t *item, const cyaml_schema_field_t *field)
{
	const cyaml_schema_value_t *schema = field->value.sequence.entry;
	const char *id = schema->mapping.fields[0].key;
	struct declaration added = {
		.source = source, .section = field->key, .node = item};
	char path[ZR_FIELD_PATH_MAX];
	enum merge_mode mode;
	int error = extract_mode(&mode, source, item, field->key);

	if (error < 0)
		return error;
	added.name = zr_check_scalar_text(
		zr_check_find_child(&source->document, item, id));
	snprintf(path, sizeof(path), "%s[]", field->key);
	if (mode == MERGE_REMOVE && added.name)
		error = check_removal(source, item, field->key, id);
	else
		error = zr_check_node(source->path, &source->document, item,
				      path, schema, zr_config_rules);
	return error < 0 ? error : merge_declaration(merge, &added, mode);
}

static int merge_items(struct zr_merge *merge, struct source *source,
		       yaml_node_t *list, const cyaml_schema_field_t *field)
{
	yaml_node_item_t *item;
	int error = 0;

	if (list->type != YAML_SEQUENCE_NODE)
		return zr_error_set(
			ZR_E_INVALID, "%s:%zu: field '%s': expected a list",
			source->path, zr_check_node_line(list), field->key);
	for (item = list->data.sequence.items.start;
	     !error && item < list->data.sequence.items.top; item++)
		error = merge_item(
			merge, source,
			yaml_document_get_node(&source->document, *item),
			field);
	return error;
}

/* Fields of the document */

static bool list_contains(yaml_document_t *document, const yaml_node_t *list,
			  const char *name)
{
	yaml_node_item_t *item;

	for (item = list->data.sequence.items.start;
	     item < list->data.sequence.items.top; item++) {
		const char *text = zr_check_scalar_text(
			yaml_document_get_node(document, *item));

		if (text && !strcmp(text, name))
			return true;
	}
	return false;
}

static const cyaml_schema_field_t *find_field(const char *name)
{
	const cyaml_schema_field_t *field;

	for (field = zr_config_file_schema.mapping.fields; field->key;
	     field++) {
		if (!strcmp(field->key, name))
			return field;
	}
	return NULL;
}

static int set_replace_error(const struct source *source,
			     const yaml_node_t *node)
{
	return zr_error_set(ZR_E_INVALID,
			    "%s:%zu: field 'replace': expected a list of "
			    "fields that this file sets, such as [policy]; an "
			    "item of a list takes 'replace: true'",
			    source->path, zr_check_node_line(node));
}

/* Every name in `replace` must be a field of this file and not a list. */
static int check_replace(struct source *source, const yaml_node_t *root,
			 const yaml_node_t *replace)
{
	yaml_node_item_t *item;

	if (replace->type != YAML_SEQUENCE_NODE)
		return set_replace_error(source, replace);
	for (item = replace->data.sequence.items.start;
	     item < replace->data.sequence.items.top; item++) {
		const yaml_node_t *node =
			yaml_document_get_node(&source->document, *item);
		const char *name = zr_check_scalar_text(node);
		const cyaml_schema_field_t *field =
			name ? find_field(name) : NULL;

		if (!field || field->value.type == CYAML_SEQUENCE ||
		    !zr_check_find_child(&source->document, root, name))
			return set_replace_error(source, node);
	}
	return 0;
}

static int merge_field(struct zr_merge *merge, struct source *source,
		       yaml_node_t *node, const cyaml_schema_field_t *field,
		       const yaml_node_t *replace)
{
	const struct declaration added = {
		.source = source, .section = field->key, .node = node};
	bool replaces = replace &&
			list_contains(&source->document, replace, field->key);

	if (field->value.type == CYAML_SEQUENCE)
		return merge_items(merge, source, node, field);
	return merge_declaration(merge, &added,
				 replaces ? MERGE_REPLACE : MERGE_DECLARE);
}

/* Checks the file against the schema, except lists: see merge_item(). */
static int check_fields(struct source *source, yaml_node_t *root)
{
	cyaml_schema_field_t fields[16] = {0};
	cyaml_schema_value_t schema = zr_config_file_schema;
	size_t i;

	for (i = 0; zr_config_file_schema.mapping.fields[i].key; i++) {
		fields[i] = zr_config_file_schema.mapping.fields[i];
		if (fields[i].value.type == CYAML_SEQUENCE)
			fields[i].value.type = CYAML_IGNORE;
	}
	schema.mapping.fields = fields;
	return zr_check_node(source->path, &source->document, root, "", &schema,
			     zr_config_rules);
}

static int merge_source(struct zr_merge *merge, struct source *source)
{
	yaml_node_t *root = yaml_document_get_root_node(&source->document);
	const cyaml_schema_field_t *field;
	yaml_node_t *replace;
	yaml_node_t *node;
	int error = 0;

	replace = extract_child(&source->document, root, "replace");
	if (replace)
		error = check_replace(source, root, replace);
	if (!error)
		error = check_fields(source, root);
	for (field = zr_config_file_schema.mapping.fields; !error && field->key;
	     field++) {
		node = zr_check_find_child(&source->document, root, field->key);
		if (node)
			error = merge_field(merge, source, node, field,
					    replace);
	}
	return error;
}

int zr_merge_add_file(struct zr_merge *merge, const char *path,
		      const void *text, size_t length)
{
	struct source *source = calloc(1, sizeof(*source));
	int error;

	if (!source)
		return ZR_E_NOMEM;
	error = zr_check_parse(&source->document, path, text, length);
	if (error < 0) {
		free(source);
		return error;
	}
	source->path = strdup(path);
	DL_APPEND(merge->sources, source);
	return source->path ? merge_source(merge, source) : ZR_E_NOMEM;
}

void zr_merge_locate(const char **path, size_t *line,
		     const struct zr_merge *merge,
		     const struct zr_config_error *error)
{
	const struct declaration *found =
		find_declaration(merge, error->section, error->name);
	const yaml_node_t *field;

	*path = found ? found->source->path : "";
	*line = found ? zr_check_node_line(found->node) : 0;
	if (!found)
		return;
	field = zr_check_find_child(&found->source->document, found->node,
				    error->field);
	if (field)
		*line = zr_check_node_line(field);
}

void zr_merge_free(struct zr_merge *merge)
{
	struct declaration *declaration;
	struct declaration *next_declaration;
	struct source *source;
	struct source *next_source;

	if (!merge)
		return;
	DL_FOREACH_SAFE(merge->declarations, declaration, next_declaration)
	free(declaration);
	DL_FOREACH_SAFE(merge->sources, source, next_source)
	{
		yaml_document_delete(&source->document);
		free(source->path);
		free(source);
	}
	free(merge);
}

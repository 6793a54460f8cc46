#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "config/merge_private.h"
#include "zinniarack/errors.h"

/* The merged document and its text. */
struct output {
	yaml_document_t document;
	char *text;
	size_t length;
};

static int copy_node(struct output *output, struct source *source,
		     const yaml_node_t *node)
{
	yaml_document_t *to = &output->document;
	yaml_node_item_t *item;
	yaml_node_pair_t *pair;
	int id;

	if (node->type == YAML_SCALAR_NODE)
		return yaml_document_add_scalar(
			to, NULL, node->data.scalar.value,
			(int)node->data.scalar.length, node->data.scalar.style);
	if (node->type == YAML_SEQUENCE_NODE) {
		id = yaml_document_add_sequence(to, NULL,
						YAML_BLOCK_SEQUENCE_STYLE);
		for (item = node->data.sequence.items.start;
		     item < node->data.sequence.items.top; item++)
			yaml_document_append_sequence_item(
				to, id,
				copy_node(output, source,
					  yaml_document_get_node(
						  &source->document, *item)));
		return id;
	}
	id = yaml_document_add_mapping(to, NULL, YAML_BLOCK_MAPPING_STYLE);
	for (pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		const yaml_node_t *key =
			yaml_document_get_node(&source->document, pair->key);
		const yaml_node_t *value =
			yaml_document_get_node(&source->document, pair->value);

		yaml_document_append_mapping_pair(
			to, id, copy_node(output, source, key),
			copy_node(output, source, value));
	}
	return id;
}

static int add_key(struct output *output, const char *key)
{
	return yaml_document_add_scalar(
		&output->document, NULL, (const yaml_char_t *)key,
		(int)strlen(key), YAML_PLAIN_SCALAR_STYLE);
}

static void copy_section(struct output *output, int root,
			 const struct zr_merge *merge,
			 const cyaml_schema_field_t *field)
{
	const struct declaration *declaration;
	int list = 0;

	DL_FOREACH(merge->declarations, declaration)
	{
		if (strcmp(declaration->section, field->key))
			continue;
		if (!declaration->name) {
			yaml_document_append_mapping_pair(
				&output->document, root,
				add_key(output, field->key),
				copy_node(output, declaration->source,
					  declaration->node));
			return;
		}
		if (!list) {
			list = yaml_document_add_sequence(
				&output->document, NULL,
				YAML_BLOCK_SEQUENCE_STYLE);
			yaml_document_append_mapping_pair(
				&output->document, root,
				add_key(output, field->key), list);
		}
		yaml_document_append_sequence_item(
			&output->document, list,
			copy_node(output, declaration->source,
				  declaration->node));
	}
}

static int append_text(void *ctx, unsigned char *buffer, size_t size)
{
	struct output *output = ctx;
	char *grown = realloc(output->text, output->length + size);

	if (!grown)
		return 0;
	memcpy(grown + output->length, buffer, size);
	output->text = grown;
	output->length += size;
	return 1;
}

/* Formats the document and frees it. */
static int emit(struct output *output)
{
	yaml_emitter_t emitter;
	int done;

	if (!yaml_emitter_initialize(&emitter)) {
		yaml_document_delete(&output->document);
		return ZR_E_NOMEM;
	}
	yaml_emitter_set_output(&emitter, append_text, output);
	yaml_emitter_set_unicode(&emitter, 1);
	done = yaml_emitter_open(&emitter) &&
	       yaml_emitter_dump(&emitter, &output->document) &&
	       yaml_emitter_close(&emitter);
	yaml_emitter_delete(&emitter);
	return done ? 0 : ZR_E_NOMEM;
}

int zr_merge_to_yaml(char **out, size_t *out_length, struct zr_merge *merge)
{
	const cyaml_schema_field_t *field;
	struct output output = {.text = NULL};
	int root;
	int error;

	if (!yaml_document_initialize(&output.document, NULL, NULL, NULL, 1, 1))
		return ZR_E_NOMEM;
	root = yaml_document_add_mapping(&output.document, NULL,
					 YAML_BLOCK_MAPPING_STYLE);
	for (field = zr_config_file_schema.mapping.fields; field->key; field++)
		copy_section(&output, root, merge, field);
	error = emit(&output);
	if (error < 0) {
		free(output.text);
		return error;
	}
	*out = output.text;
	*out_length = output.length;
	return 0;
}

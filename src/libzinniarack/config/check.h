#ifndef ZR_CONFIG_CHECK_H
#define ZR_CONFIG_CHECK_H

#include <cyaml/cyaml.h>
#include <stddef.h>
#include <yaml.h>

#include "config/rules.h"

/**
 * DOC: Checks of YAML documents
 *
 * Holds a document against a libcyaml schema and the rules of its fields
 * before it is loaded, so that an error names file, line, field and what is
 * allowed there.
 */

/** Longest path of a field, with the final NUL. */
#define ZR_FIELD_PATH_MAX 128

/**
 * zr_check_parse() - parse YAML into a document
 * @out: the document, to be freed with yaml_document_delete() on success
 * @source: what error texts call it
 * @text: the YAML; aliases are refused
 * @length: its length in bytes
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_check_parse(yaml_document_t *out, const char *source, const void *text,
		   size_t length);

/**
 * zr_check_node() - hold a node and all below it against a schema
 * @source: what error texts call the document
 * @document: the document
 * @node: the node
 * @path: the node's path, "" for the root
 * @schema: its schema
 * @rules: rules of its fields
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_check_node(const char *source, yaml_document_t *document,
		  yaml_node_t *node, const char *path,
		  const cyaml_schema_value_t *schema,
		  const struct zr_field_rule *rules);

/** zr_check_find_child() - the value of a mapping's key, or NULL */
yaml_node_t *zr_check_find_child(yaml_document_t *document,
				 const yaml_node_t *node, const char *key);

/** zr_check_node_line() - the line a node begins on, counted from 1 */
size_t zr_check_node_line(const yaml_node_t *node);

/** zr_check_scalar_text() - a scalar's text, or NULL for another kind of node
 */
const char *zr_check_scalar_text(const yaml_node_t *node);

#endif

#ifndef ZR_CONFIG_CHECK_H
#define ZR_CONFIG_CHECK_H

#include <cyaml/cyaml.h>
#include <stddef.h>
#include <yaml.h>

#include "config/rules.h"

/**
 * DOC: Checks of YAML documents
 *
 * Checks a parsed document against a libcyaml schema and the rules of its
 * fields before libcyaml loads it, so that an error text has the file, line,
 * field and what is allowed there.
 */

/** Maximum size of a field's path in bytes, with the terminating NUL. */
#define ZR_FIELD_PATH_MAX 128

/**
 * zr_check_parse() - parse YAML into a document
 * @out: the document; free with yaml_document_delete()
 * @source: name of the document in error texts
 * @text: YAML; aliases are an error
 * @length: length of @text in bytes
 *
 * Return: 0, ZR_E_NOMEM or ZR_E_INVALID; nothing is to be freed on an error.
 */
int zr_check_parse(yaml_document_t *out, const char *source, const void *text,
		   size_t length);

/**
 * zr_check_node() - check a node and its descendants
 * @source: name of the document in error texts
 * @document: the document
 * @node: the node
 * @path: path of the node, such as `teams[]`; "" for the root
 * @schema: schema of the node
 * @rules: rules of the document's fields, terminated by a NULL path
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_check_node(const char *source, yaml_document_t *document,
		  yaml_node_t *node, const char *path,
		  const cyaml_schema_value_t *schema,
		  const struct zr_field_rule *rules);

/** zr_check_find_child() - return the value of a mapping's key, or NULL */
yaml_node_t *zr_check_find_child(yaml_document_t *document,
				 const yaml_node_t *node, const char *key);

/** zr_check_node_line() - return the line that a node begins on, from 1 */
size_t zr_check_node_line(const yaml_node_t *node);

/** zr_check_scalar_text() - return a scalar's text, or NULL for other nodes */
const char *zr_check_scalar_text(const yaml_node_t *node);

#endif

#ifndef ZR_CONFIG_YAML_H
#define ZR_CONFIG_YAML_H

#include <cyaml/cyaml.h>
#include <stddef.h>

#include "config/rules.h"

/**
 * DOC: YAML
 *
 * Loads YAML into structs by a libcyaml schema. What libcyaml finds wrong
 * becomes the text of zr_error_last(), with the source, line and field.
 */

/**
 * zr_yaml_load_file() - load a file
 * @out: the loaded struct, to be freed with zr_yaml_free()
 * @path: the file
 * @schema: its schema
 *
 * Return: 0, ZR_E_NOT_FOUND or ZR_E_INVALID.
 */
int zr_yaml_load_file(void **out, const char *path,
		      const cyaml_schema_value_t *schema);

/**
 * zr_yaml_load_text() - load YAML held in memory
 * @out: the loaded struct, to be freed with zr_yaml_free()
 * @source: what error texts call it
 * @text: the YAML
 * @length: its length in bytes
 * @schema: its schema
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_yaml_load_text(void **out, const char *source, const void *text,
		      size_t length, const cyaml_schema_value_t *schema);

/**
 * zr_yaml_load_checked() - as zr_yaml_load_text(), with rules of fields
 * @out: the loaded struct, to be freed with zr_yaml_free()
 * @source: what error texts call it
 * @text: the YAML
 * @length: its length in bytes
 * @schema: its schema
 * @rules: rules of its fields
 *
 * Return: 0 or ZR_E_INVALID; zr_error_last() names source, line, field and
 * what is allowed.
 */
int zr_yaml_load_checked(void **out, const char *source, const void *text,
			 size_t length, const cyaml_schema_value_t *schema,
			 const struct zr_field_rule *rules);

/**
 * zr_yaml_load_file_checked() - as zr_yaml_load_checked(), of a file
 * @out: the loaded struct, to be freed with zr_yaml_free()
 * @path: the file
 * @schema: its schema
 * @rules: rules of its fields
 *
 * Return: 0, ZR_E_INVALID, or an error of zr_yaml_read_file().
 */
int zr_yaml_load_file_checked(void **out, const char *path,
			      const cyaml_schema_value_t *schema,
			      const struct zr_field_rule *rules);

/**
 * zr_yaml_read_file() - read a whole file
 * @out: its text, to be freed with free()
 * @out_length: its length in bytes
 * @path: the file
 *
 * Return: 0, ZR_E_NOT_FOUND, ZR_E_TOO_LARGE or ZR_E_NOMEM.
 */
int zr_yaml_read_file(char **out, size_t *out_length, const char *path);

/**
 * zr_yaml_save_text() - write a struct as YAML
 * @out: the text, to be freed with free()
 * @out_length: its length in bytes
 * @schema: the struct's schema
 * @data: the struct
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_yaml_save_text(char **out, size_t *out_length,
		      const cyaml_schema_value_t *schema, const void *data);

/** zr_yaml_free() - free what a load gave */
void zr_yaml_free(const cyaml_schema_value_t *schema, void *data);

#endif

#ifndef ZR_CONFIG_YAML_H
#define ZR_CONFIG_YAML_H

#include <cyaml/cyaml.h>
#include <stddef.h>

#include "config/rules.h"

/**
 * DOC: YAML
 *
 * Loads YAML into structs and saves structs as YAML by a libcyaml schema.
 * Errors of libcyaml become the text of zr_error_last(), with the source, line
 * and field.
 */

/**
 * zr_yaml_load_file() - load a file
 * @out: the loaded struct; free with zr_yaml_free()
 * @path: the file
 * @schema: schema of the struct
 *
 * Return: 0, ZR_E_NOT_FOUND or ZR_E_INVALID.
 */
int zr_yaml_load_file(void **out, const char *path,
		      const cyaml_schema_value_t *schema);

/**
 * zr_yaml_load_text() - load YAML from memory
 * @out: the loaded struct; free with zr_yaml_free()
 * @source: name of the text in error texts
 * @text: YAML
 * @length: length of @text in bytes
 * @schema: schema of the struct
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_yaml_load_text(void **out, const char *source, const void *text,
		      size_t length, const cyaml_schema_value_t *schema);

/**
 * zr_yaml_load_checked() - load YAML from memory and check the rules of fields
 * @out: the loaded struct; free with zr_yaml_free()
 * @source: name of the text in error texts
 * @text: YAML
 * @length: length of @text in bytes
 * @schema: schema of the struct
 * @rules: rules of the fields, terminated by a NULL path
 *
 * Return: 0, ZR_E_NOMEM or ZR_E_INVALID; zr_error_last() has the source, line,
 * field and what is allowed there.
 */
int zr_yaml_load_checked(void **out, const char *source, const void *text,
			 size_t length, const cyaml_schema_value_t *schema,
			 const struct zr_field_rule *rules);

/**
 * zr_yaml_load_file_checked() - load a file and check the rules of fields
 * @out: the loaded struct; free with zr_yaml_free()
 * @path: the file
 * @schema: schema of the struct
 * @rules: rules of the fields, terminated by a NULL path
 *
 * Return: as zr_yaml_read_file() or zr_yaml_load_checked().
 */
int zr_yaml_load_file_checked(void **out, const char *path,
			      const cyaml_schema_value_t *schema,
			      const struct zr_field_rule *rules);

/**
 * zr_yaml_read_file() - read a whole file
 * @out: the file's text, not NUL-terminated; free with free()
 * @out_length: length of @out in bytes
 * @path: the file
 *
 * Return: 0, ZR_E_NOT_FOUND, ZR_E_TOO_LARGE or ZR_E_NOMEM.
 */
int zr_yaml_read_file(char **out, size_t *out_length, const char *path);

/**
 * zr_yaml_save_text() - save a struct as YAML in memory
 * @out: the text, not NUL-terminated; free with free()
 * @out_length: length of @out in bytes
 * @schema: schema of the struct
 * @data: the struct
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_yaml_save_text(char **out, size_t *out_length,
		      const cyaml_schema_value_t *schema, const void *data);

/** zr_yaml_free() - free a loaded struct, or do nothing for NULL */
void zr_yaml_free(const cyaml_schema_value_t *schema, void *data);

#endif

#ifndef ZR_CONFIG_MERGE_H
#define ZR_CONFIG_MERGE_H

#include <stddef.h>
#include <yaml.h>

#include "config/schema.h"

/**
 * DOC: Merging configuration files
 *
 * Merges files one after the other into one document and records, for each
 * item of a list and each other field of the document, where it was declared.
 * See zr_config_load_folder() for the rules.
 */

struct zr_merge;

/**
 * zr_merge_new() - create an empty merge
 * @out: the merge; free with zr_merge_free()
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_merge_new(struct zr_merge **out);

/**
 * zr_merge_add_file() - check a file and merge its declarations
 * @merge: the merge
 * @path: path of the file, for error texts
 * @text: YAML of the file
 * @length: length of @text in bytes
 *
 * Return: 0, ZR_E_NOMEM, ZR_E_INVALID, or ZR_E_CONFLICT when an item or field
 * was declared in an earlier file. After an error the only valid call is
 * zr_merge_free().
 */
int zr_merge_add_file(struct zr_merge *merge, const char *path,
		      const void *text, size_t length);

/**
 * zr_merge_to_yaml() - format the merged document as YAML
 * @out: the text, not NUL-terminated; free with free()
 * @out_length: length of @out in bytes
 * @merge: the merge
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_merge_to_yaml(char **out, size_t *out_length, struct zr_merge *merge);

/**
 * zr_merge_locate() - find where the cause of an error was declared
 * @path: path of the file; "" if no file declares the item
 * @line: line of the field, or of the item if the field is absent; from 1
 * @merge: the merge
 * @error: section, item and field to look up
 */
void zr_merge_locate(const char **path, size_t *line,
		     const struct zr_merge *merge,
		     const struct zr_config_error *error);

/** zr_merge_free() - free a merge, or do nothing for NULL */
void zr_merge_free(struct zr_merge *merge);

#endif

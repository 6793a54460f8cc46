#ifndef ZR_CONFIG_MERGE_H
#define ZR_CONFIG_MERGE_H

#include <stddef.h>
#include <yaml.h>

#include "config/schema.h"

/**
 * DOC: Merge of a folder's files
 *
 * Takes the files one after the other and keeps, for each item and field of
 * the document, where it was declared.
 */

struct zr_merge;

int zr_merge_new(struct zr_merge **out);

/**
 * zr_merge_add_file() - check a file and take its declarations
 * @merge: the merge
 * @path: the file's path, for error texts
 * @text: its YAML
 * @length: its length in bytes
 *
 * Return: 0, ZR_E_INVALID, or ZR_E_CONFLICT when an item is declared again;
 * after an error the merge is only to be freed.
 */
int zr_merge_add_file(struct zr_merge *merge, const char *path,
		      const void *text, size_t length);

/**
 * zr_merge_to_yaml() - the merged document as YAML
 * @out: the text, to be freed with free()
 * @out_length: its length in bytes
 * @merge: the merge
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_merge_to_yaml(char **out, size_t *out_length, struct zr_merge *merge);

/**
 * zr_merge_locate() - where an item's field was declared
 * @path: the file's path
 * @line: the line of the field, or of the item when it has no such field
 * @merge: the merge
 * @fault: names section, item and field
 */
void zr_merge_locate(const char **path, size_t *line,
		     const struct zr_merge *merge,
		     const struct zr_config_error *fault);

void zr_merge_free(struct zr_merge *merge);

#endif

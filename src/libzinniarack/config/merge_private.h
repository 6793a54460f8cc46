#ifndef ZR_CONFIG_MERGE_PRIVATE_H
#define ZR_CONFIG_MERGE_PRIVATE_H

#include "config/merge.h"

/**
 * DOC: Parts of a merge
 *
 * Shared by merge.c, which merges declarations, and merge_text.c, which formats
 * the merged document.
 */

/**
 * struct source - a merged file
 * @prev: previous file
 * @next: next file
 * @path: path of the file
 * @document: its parsed document, which declarations point into
 */
struct source {
	struct source *prev;
	struct source *next;
	char *path;
	yaml_document_t document;
};

/**
 * struct declaration - a declared item of a list, or a field of the document
 * that isn't a list
 * @prev: previous declaration
 * @next: next declaration
 * @source: file that contains it
 * @section: name of the list or of the field
 * @name: name or id of the item; NULL for a field of the document
 * @node: node of the item or of the field's value
 */
struct declaration {
	struct declaration *prev;
	struct declaration *next;
	struct source *source;
	const char *section;
	const char *name;
	yaml_node_t *node;
};

/**
 * struct zr_merge - a merge
 * @sources: the merged files
 * @declarations: the declarations in effect, in the order in which their names
 *	were first declared
 */
struct zr_merge {
	struct source *sources;
	struct declaration *declarations;
};

#endif

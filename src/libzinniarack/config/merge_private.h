#ifndef ZR_CONFIG_MERGE_PRIVATE_H
#define ZR_CONFIG_MERGE_PRIVATE_H

#include "config/merge.h"

/**
 * DOC: What the files of the merge share
 *
 * merge.c takes declarations, merge_text.c writes what came of them.
 */

/* A file and its parsed document, which the declarations point into. */
struct source {
	struct source *prev;
	struct source *next;
	char *path;
	yaml_document_t document;
};

/* An item of a list, or a field of the document when it has no name. */
struct declaration {
	struct declaration *prev;
	struct declaration *next;
	struct source *source;
	const char *section;
	const char *name;
	yaml_node_t *node;
};

struct zr_merge {
	struct source *sources;
	struct declaration *declarations;
};

#endif

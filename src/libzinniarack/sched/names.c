#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Interned strings
 *
 * A backlog of 100,000 jobs has few queues, racks and teams: each name is kept
 * once.
 */

struct zr_sched_name *zr_sched_name_take(struct zr_sched *sched,
					 const char *text)
{
	size_t length = strlen(text);
	struct zr_sched_name *name;

	HASH_FIND(hh, sched->names, text, length, name);
	if (!name) {
		name = calloc(1, sizeof(*name) + length + 1);
		if (!name)
			return NULL;
		memcpy(name->text, text, length + 1);
		HASH_ADD_KEYPTR(hh, sched->names, name->text, length, name);
	}
	name->refs++;
	return name;
}

void zr_sched_name_drop(struct zr_sched *sched, struct zr_sched_name *name)
{
	if (!name || --name->refs)
		return;
	HASH_DELETE(hh, sched->names, name);
	free(name);
}

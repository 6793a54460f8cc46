#include "zinniarack/config.h"

#include <dirent.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/schema.h"
#include "config/yaml.h"
#include "zinniarack/errors.h"

#define SUFFIX ".yaml"

static int is_yaml(const struct dirent *entry)
{
	size_t length = strlen(entry->d_name);
	size_t suffix = strlen(SUFFIX);

	return entry->d_name[0] != '.' && length > suffix &&
	       !strcmp(entry->d_name + length - suffix, SUFFIX);
}

/* Moves the rows of one list behind those of another. */
static int append_rows(void **rows, uint32_t *count, void **more,
		       uint32_t *more_count, size_t row_size)
{
	char *grown;

	if (!*more_count)
		return 0;
	grown = realloc(*rows, (size_t)(*count + *more_count) * row_size);
	if (!grown)
		return ZR_E_NOMEM;
	memcpy(grown + *count * row_size, *more, *more_count * row_size);
	*rows = grown;
	*count += *more_count;
	*more_count = 0;
	return 0;
}

static int refuse_twice(const char *path, const char *kind, const char *name)
{
	return zr_error_set(ZR_E_CONFLICT,
			    "%s: %s '%s' is declared in an earlier file too",
			    path, kind, name);
}

static int find_conflict(const struct zr_config *merged,
			 const struct zr_config *added, const char *path)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < added->teams_count; i++) {
		if (zr_config_team(merged, added->teams[i].name))
			return refuse_twice(path, "team", added->teams[i].name);
	}
	for (i = 0; i < added->queues_count; i++) {
		if (zr_config_queue(merged, added->queues[i].name))
			return refuse_twice(path, "queue",
					    added->queues[i].name);
	}
	for (i = 0; i < added->keys_count; i++) {
		for (j = 0; j < merged->keys_count; j++) {
			if (!strcmp(added->keys[i].id, merged->keys[j].id))
				return refuse_twice(path, "key",
						    added->keys[i].id);
		}
	}
	return 0;
}

static int merge(struct zr_config *merged, struct zr_config *added,
		 const char *path)
{
	int error = find_conflict(merged, added, path);

	if (error < 0)
		return error;
	if (added->policy)
		merged->policy = added->policy;
	if ((error = append_rows((void **)&merged->teams, &merged->teams_count,
				 (void **)&added->teams, &added->teams_count,
				 sizeof(*merged->teams))) < 0 ||
	    (error = append_rows((void **)&merged->queues,
				 &merged->queues_count, (void **)&added->queues,
				 &added->queues_count,
				 sizeof(*merged->queues))) < 0 ||
	    (error = append_rows((void **)&merged->keys, &merged->keys_count,
				 (void **)&added->keys, &added->keys_count,
				 sizeof(*merged->keys))) < 0)
		return error;
	return 0;
}

static int merge_file(struct zr_config *merged, const char *folder,
		      const char *name)
{
	char path[PATH_MAX];
	void *added;
	int error;

	snprintf(path, sizeof(path), "%s/%s", folder, name);
	error = zr_yaml_load_file(&added, path, &zr_config_schema);
	if (error < 0)
		return error;
	error = merge(merged, added, path);
	zr_config_free(added);
	return error;
}

int zr_config_load_folder(struct zr_config **out, const char *path)
{
	struct zr_config *merged = calloc(1, sizeof(*merged));
	struct dirent **entries;
	int error = 0;
	int count;
	int i;

	if (!merged)
		return ZR_E_NOMEM;
	count = scandir(path, &entries, is_yaml, alphasort);
	if (count < 0) {
		free(merged);
		return zr_error_set(ZR_E_NOT_FOUND,
				    "%s: cannot be read as a folder", path);
	}
	for (i = 0; i < count; i++) {
		if (!error)
			error = merge_file(merged, path, entries[i]->d_name);
		free(entries[i]);
	}
	free(entries);
	if (!error)
		error = zr_config_check(merged, path);
	if (error < 0) {
		zr_config_free(merged);
		return error;
	}
	*out = merged;
	return 0;
}

#include "zinniarack/config.h"

#include <dirent.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/merge.h"
#include "config/schema.h"
#include "config/yaml.h"
#include "zinniarack/errors.h"

#define SUFFIX ".yaml"

static int is_yaml_file(const struct dirent *entry)
{
	size_t length = strlen(entry->d_name);
	size_t suffix = strlen(SUFFIX);

	return entry->d_name[0] != '.' && length > suffix &&
	       !strcmp(entry->d_name + length - suffix, SUFFIX);
}

/* Compares bytes, so that the order doesn't depend on the locale. */
static int compare_names(const struct dirent **a, const struct dirent **b)
{
	return strcmp((*a)->d_name, (*b)->d_name);
}

static int merge_file(struct zr_merge *merge, const char *folder,
		      const char *name)
{
	char path[PATH_MAX];
	size_t length;
	char *text;
	int error;

	snprintf(path, sizeof(path), "%s/%s", folder, name);
	error = zr_yaml_read_file(&text, &length, path);
	if (error < 0)
		return error;
	error = zr_merge_add_file(merge, path, text, length);
	free(text);
	return error;
}

static int merge_files(struct zr_merge *merge, const char *folder)
{
	struct dirent **entries;
	int count = scandir(folder, &entries, is_yaml_file, compare_names);
	int error = 0;
	int i;

	if (count < 0)
		return zr_error_set(ZR_E_NOT_FOUND,
				    "%s: cannot read the folder", folder);
	if (!count)
		error = zr_error_set(ZR_E_NOT_FOUND,
				     "%s: contains no file named *%s", folder,
				     SUFFIX);
	for (i = 0; i < count; i++) {
		if (!error)
			error = merge_file(merge, folder, entries[i]->d_name);
		free(entries[i]);
	}
	free(entries);
	return error;
}

static int check_merged(const struct zr_merge *merge,
			const struct zr_config *config)
{
	struct zr_config_error found;
	int error = zr_config_check(&found, config);
	const char *path;
	size_t line;

	if (!error)
		return 0;
	zr_merge_locate(&path, &line, merge, &found);
	return zr_error_set(error, "%s:%zu: field '%s[].%s': %s", path, line,
			    found.section, found.field, found.detail);
}

static int load_merged(struct zr_config **out, struct zr_merge *merge,
		       const char *folder)
{
	struct zr_config *config = NULL;
	void *loaded = NULL;
	size_t length = 0;
	char *text = NULL;
	int error = zr_merge_to_yaml(&text, &length, merge);

	if (!error)
		error = zr_yaml_load_checked(&loaded, folder, text, length,
					     &zr_config_file_schema,
					     zr_config_rules);
	free(text);
	if (error < 0)
		return error;
	config = loaded;
	zr_config_fill_defaults(config);
	error = check_merged(merge, config);
	if (error < 0)
		zr_config_free(config);
	else
		*out = config;
	return error;
}

static int merge_base(struct zr_merge *merge, const struct zr_config *base)
{
	size_t length;
	char *text;
	int error =
		zr_yaml_save_text(&text, &length, &zr_config_file_schema, base);

	if (error < 0)
		return error;
	error = zr_merge_add_file(merge, "applied configuration", text, length);
	free(text);
	return error;
}

int zr_config_amend(struct zr_config **out, const struct zr_config *base,
		    const char *source, const void *text, size_t length)
{
	struct zr_merge *merge;
	int error = zr_merge_new(&merge);

	if (error < 0)
		return error;
	error = merge_base(merge, base);
	if (!error)
		error = zr_merge_add_file(merge, source, text, length);
	if (!error)
		error = load_merged(out, merge, source);
	zr_merge_free(merge);
	return error;
}

/* A review, with the merge that knows where entries were declared. */
struct folder_review {
	const struct zr_config_review *review;
	const struct zr_merge *merge;
};

static void report_finding(void *ctx, const struct zr_config_error *finding)
{
	const struct folder_review *folder = ctx;
	char detail[ZR_ERROR_TEXT_MAX];
	const char *path;
	size_t line;

	zr_merge_locate(&path, &line, folder->merge, finding);
	snprintf(detail, sizeof(detail), "field '%s[].%s': %s",
		 finding->section, finding->field, finding->detail);
	folder->review->found(folder->review->ctx, path, line, detail);
}

int zr_config_review_folder(struct zr_config **out, const char *path,
			    const struct zr_config_review *review)
{
	struct folder_review folder = {.review = review};
	struct zr_merge *merge;
	int error = zr_merge_new(&merge);

	if (error < 0)
		return error;
	folder.merge = merge;
	error = merge_files(merge, path);
	if (!error)
		error = load_merged(out, merge, path);
	if (!error && review)
		zr_config_find_ineffective(*out, review->knows_worker,
					   review->ctx, report_finding,
					   &folder);
	zr_merge_free(merge);
	return error;
}

int zr_config_load_folder(struct zr_config **out, const char *path)
{
	return zr_config_review_folder(out, path, NULL);
}

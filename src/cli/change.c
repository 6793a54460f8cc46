#include <inttypes.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"
#include "zinniarack/errors.h"

#define URL_PATH_SIZE 96

int cli_config_fetch(struct zr_config **out, const struct cli_options *options)
{
	struct cli_response response;
	int error = cli_call_as_operator(&response, options, "GET",
					 "/v1/config", NULL, 0);

	*out = NULL;
	if (error < 0)
		return cli_print_error(error);
	if (response.status != 200 && response.status != 404)
		return cli_print_response(&response);
	if (response.status == 200)
		error = zr_config_parse(out, "applied configuration",
					response.body, response.length);
	free(response.body);
	return error < 0 ? cli_print_error(error) : CLI_EXIT_OK;
}

int cli_config_put(const struct cli_options *options,
		   const struct zr_config *config, uint64_t expected_version,
		   bool move_keys)
{
	char path[URL_PATH_SIZE];
	struct cli_response response;
	size_t length;
	char *yaml;
	int error = zr_config_print(&yaml, &length, config);

	if (error < 0)
		return cli_print_error(error);
	snprintf(path, sizeof(path), "/v1/config?expected=%" PRIu64 "%s",
		 expected_version, move_keys ? "&move_keys=yes" : "");
	error = cli_call_as_operator(&response, options, "PUT", path, yaml,
				     length);
	free(yaml);
	return error < 0 ? cli_print_error(error)
			 : cli_print_response(&response);
}

int cli_config_apply_folder(const struct cli_options *options,
			    const char *folder, bool move_keys)
{
	struct zr_config *applied;
	struct zr_config *config;
	int error = zr_config_load_folder(&config, folder);
	int result;

	if (error < 0)
		return cli_print_error(error);
	/*
	 * The daemon refuses the change as a conflict if the version read here
	 * is no longer the applied one.
	 */
	result = cli_config_fetch(&applied, options);
	if (result == CLI_EXIT_OK)
		result = cli_config_put(options, config,
					applied ? applied->version : 0,
					move_keys);
	zr_config_free(applied);
	zr_config_free(config);
	return result;
}

/* Adds the declarations in @text to the applied configuration only. */
static int amend_applied_config(const struct cli_options *options,
				const char *file, const char *text)
{
	struct zr_config *applied;
	struct zr_config *config;
	int result = cli_config_fetch(&applied, options);
	int error;

	if (result != CLI_EXIT_OK)
		return result;
	if (!applied) {
		zr_error_set(ZR_E_NOT_FOUND,
			     "no configuration has been applied yet");
		return cli_print_error(ZR_E_NOT_FOUND);
	}
	error = zr_config_amend(&config, applied, file, text, strlen(text));
	if (error < 0) {
		zr_config_free(applied);
		return cli_print_error(error);
	}
	fprintf(stderr,
		"zinniarack: this changes only the applied configuration; add "
		"it to your folder, or the next 'config apply' of the folder "
		"reverts it:\n%s",
		text);
	result = cli_config_put(options, config, applied->version, false);
	zr_config_free(config);
	zr_config_free(applied);
	return result;
}

int cli_create_file(const char *path, const char *text)
{
	FILE *file = fopen(path, "wx");

	if (!file)
		return zr_error_set(ZR_E_EXISTS,
				    "%s: exists already or cannot be created",
				    path);
	fputs(text, file);
	if (fclose(file))
		return zr_error_set(ZR_E_IO, "%s: cannot be written", path);
	return 0;
}

int cli_config_apply_file(const struct cli_options *options, const char *folder,
			  const char *file, const char *text)
{
	char path[PATH_MAX];
	int result;
	int error;

	if (strchr(file, '/')) {
		zr_error_set(ZR_E_INVALID,
			     "'%s': a file name must not contain '/'", file);
		return cli_print_error(ZR_E_INVALID);
	}
	if (!folder)
		return amend_applied_config(options, file, text);
	snprintf(path, sizeof(path), "%s/%s", folder, file);
	error = cli_create_file(path, text);
	if (error < 0)
		return cli_print_error(error);
	result = cli_config_apply_folder(options, folder, false);
	/*
	 * Keep the file while the outcome is unknown: the change may have been
	 * accepted although no response came.
	 */
	if (result != CLI_EXIT_OK && result != CLI_EXIT_UNREACHABLE)
		unlink(path);
	return result;
}

int cli_config_apply_without_file(const struct cli_options *options,
				  const char *folder, const char *file)
{
	char path[PATH_MAX];
	char aside[PATH_MAX];
	int result;

	/* Only files named *.yaml are read. */
	if (snprintf(path, sizeof(path), "%s/%s", folder, file) >= PATH_MAX ||
	    snprintf(aside, sizeof(aside), "%s.removed", path) >= PATH_MAX ||
	    rename(path, aside)) {
		zr_error_set(ZR_E_NOT_FOUND, "%s/%s: cannot be removed", folder,
			     file);
		return cli_print_error(ZR_E_NOT_FOUND);
	}
	result = cli_config_apply_folder(options, folder, false);
	/* With an unknown outcome, the change may have been accepted. */
	if (result == CLI_EXIT_OK || result == CLI_EXIT_UNREACHABLE)
		unlink(aside);
	else if (rename(aside, path))
		fprintf(stderr, "zinniarack: %s: cannot be put back\n", aside);
	return result;
}

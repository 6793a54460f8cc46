#include <inttypes.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"
#include "zinniarack/errors.h"

#define PATH_MAX_BYTES 96

int cli_config_read(struct zr_config **out, const struct cli_options *options)
{
	struct cli_answer answer;
	int error = cli_call_operator(&answer, options, "GET", "/v1/config",
				      NULL, 0);

	*out = NULL;
	if (error < 0)
		return cli_fail(error);
	if (answer.status != 200 && answer.status != 404)
		return cli_show(&answer);
	if (answer.status == 200)
		error = zr_config_parse(out, "configuration in force",
					answer.body, answer.length);
	free(answer.body);
	return error < 0 ? cli_fail(error) : CLI_EXIT_OK;
}

int cli_config_put(const struct cli_options *options,
		   const struct zr_config *config, uint64_t expected,
		   bool move_keys)
{
	char path[PATH_MAX_BYTES];
	struct cli_answer answer;
	size_t length;
	char *text;
	int error = zr_config_print(&text, &length, config);

	if (error < 0)
		return cli_fail(error);
	snprintf(path, sizeof(path), "/v1/config?expected=%" PRIu64 "%s",
		 expected, move_keys ? "&move_keys=yes" : "");
	error = cli_call_operator(&answer, options, "PUT", path, text, length);
	free(text);
	return error < 0 ? cli_fail(error) : cli_show(&answer);
}

/* The version in force is read first: a change made meanwhile is a conflict. */
int cli_config_apply(const struct cli_options *options, const char *folder,
		     bool move_keys)
{
	struct zr_config *current;
	struct zr_config *config;
	int error = zr_config_load_folder(&config, folder);
	int result;

	if (error < 0)
		return cli_fail(error);
	result = cli_config_read(&current, options);
	if (result == CLI_EXIT_OK)
		result = cli_config_put(options, config,
					current ? current->version : 0,
					move_keys);
	zr_config_free(current);
	zr_config_free(config);
	return result;
}

static int change_in_force(const struct cli_options *options, const char *file,
			   const char *text)
{
	struct zr_config *current;
	struct zr_config *config;
	int result = cli_config_read(&current, options);
	int error;

	if (result != CLI_EXIT_OK)
		return result;
	if (!current) {
		zr_error_set(ZR_E_NOT_FOUND, "no configuration is in force");
		return cli_fail(ZR_E_NOT_FOUND);
	}
	error = zr_config_amend(&config, current, file, text, strlen(text));
	if (error < 0) {
		zr_config_free(current);
		return cli_fail(error);
	}
	fprintf(stderr,
		"zinniarack: changed in force only; put this into the "
		"folder, or applying it again undoes the change:\n%s",
		text);
	result = cli_config_put(options, config, current->version, false);
	zr_config_free(config);
	zr_config_free(current);
	return result;
}

int cli_file_new(const char *path, const char *text)
{
	FILE *file = fopen(path, "wx");

	if (!file)
		return zr_error_set(ZR_E_EXISTS, "%s: cannot be made anew",
				    path);
	fputs(text, file);
	if (fclose(file))
		return zr_error_set(ZR_E_IO, "%s: cannot be written", path);
	return 0;
}

int cli_config_change(const struct cli_options *options, const char *folder,
		      const char *file, const char *text)
{
	char path[PATH_MAX];
	int result;
	int error;

	if (strchr(file, '/')) {
		zr_error_set(ZR_E_INVALID, "'%s': a name has no '/'", file);
		return cli_fail(ZR_E_INVALID);
	}
	if (!folder)
		return change_in_force(options, file, text);
	snprintf(path, sizeof(path), "%s/%s", folder, file);
	error = cli_file_new(path, text);
	if (error < 0)
		return cli_fail(error);
	result = cli_config_apply(options, folder, false);
	/* An outcome that is not known may yet be an acceptance. */
	if (result != CLI_EXIT_OK && result != CLI_EXIT_UNREACHABLE)
		unlink(path);
	return result;
}

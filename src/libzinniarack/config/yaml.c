#include "config/yaml.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/check.h"
#include "zinniarack/errors.h"

#define FILE_BYTES_MAX (1u << 20) /* the store's limit on a value */

/* The error messages of one call of libcyaml, joined by "; ". */
struct problem {
	char text[ZR_ERROR_TEXT_MAX / 2];
	size_t used;
};

/* Appends a line of libcyaml's log, without its prefix and "Backtrace:". */
static void append_problem(cyaml_log_t level, void *ctx, const char *fmt,
			   va_list args)
{
	struct problem *problem = ctx;
	size_t available = sizeof(problem->text) - problem->used;
	char line[ZR_ERROR_TEXT_MAX / 2];
	const char *text = line;
	int written;

	(void)level;
	vsnprintf(line, sizeof(line), fmt, args);
	line[strcspn(line, "\n")] = '\0';
	if (!strncmp(text, "Load: ", 6))
		text += 6;
	text += strspn(text, " ");
	if (!*text || !strcmp(text, "Backtrace:"))
		return;
	written = snprintf(problem->text + problem->used, available, "%s%s",
			   problem->used ? "; " : "", text);
	if (written > 0)
		problem->used += (size_t)written < available ? (size_t)written
							     : available - 1;
}

static cyaml_config_t init_config(struct problem *problem)
{
	cyaml_config_t config = {
		.log_fn = append_problem,
		.log_ctx = problem,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
		.flags = CYAML_CFG_STYLE_BLOCK | CYAML_CFG_NO_ALIAS,
	};

	problem->text[0] = '\0';
	problem->used = 0;
	return config;
}

static int to_error(const char *source, cyaml_err_t error,
		    const struct problem *problem)
{
	if (error == CYAML_OK)
		return 0;
	if (error == CYAML_ERR_FILE_OPEN)
		return zr_error_set(ZR_E_NOT_FOUND, "%s: cannot be opened",
				    source);
	return zr_error_set(ZR_E_INVALID, "%s: %s: %s", source,
			    cyaml_strerror(error), problem->text);
}

int zr_yaml_load_file(void **out, const char *path,
		      const cyaml_schema_value_t *schema)
{
	struct problem problem;
	cyaml_config_t config = init_config(&problem);
	cyaml_err_t error;

	*out = NULL;
	error = cyaml_load_file(path, &config, schema, out, NULL);
	if (error == CYAML_OK && !*out)
		return zr_error_set(ZR_E_INVALID, "%s: is empty", path);
	return to_error(path, error, &problem);
}

int zr_yaml_load_text(void **out, const char *source, const void *text,
		      size_t length, const cyaml_schema_value_t *schema)
{
	struct problem problem;
	cyaml_config_t config = init_config(&problem);
	cyaml_err_t error;

	*out = NULL;
	error = cyaml_load_data(text, length, &config, schema, out, NULL);
	if (error == CYAML_OK && !*out)
		return zr_error_set(ZR_E_INVALID, "%s: is empty", source);
	return to_error(source, error, &problem);
}

int zr_yaml_load_checked(void **out, const char *source, const void *text,
			 size_t length, const cyaml_schema_value_t *schema,
			 const struct zr_field_rule *rules)
{
	yaml_document_t document;
	int error = zr_check_parse(&document, source, text, length);

	*out = NULL;
	if (error < 0)
		return error;
	error = zr_check_node(source, &document,
			      yaml_document_get_root_node(&document), "",
			      schema, rules);
	yaml_document_delete(&document);
	if (error < 0)
		return error;
	return zr_yaml_load_text(out, source, text, length, schema);
}

int zr_yaml_read_file(char **out, size_t *out_length, const char *path)
{
	FILE *file = fopen(path, "r");
	char *text;

	if (!file)
		return zr_error_set(ZR_E_NOT_FOUND, "%s: cannot be opened",
				    path);
	text = malloc(FILE_BYTES_MAX + 1);
	*out_length = text ? fread(text, 1, FILE_BYTES_MAX + 1, file) : 0;
	fclose(file);
	if (!text)
		return ZR_E_NOMEM;
	if (*out_length > FILE_BYTES_MAX) {
		free(text);
		return zr_error_set(ZR_E_TOO_LARGE, "%s: larger than %u bytes",
				    path, FILE_BYTES_MAX);
	}
	*out = text;
	return 0;
}

int zr_yaml_save_text(char **out, size_t *out_length,
		      const cyaml_schema_value_t *schema, const void *data)
{
	struct problem problem;
	cyaml_config_t config = init_config(&problem);

	return to_error(
		"output",
		cyaml_save_data(out, out_length, &config, schema, data, 0),
		&problem);
}

void zr_yaml_free(const cyaml_schema_value_t *schema, void *data)
{
	struct problem problem;
	cyaml_config_t config = init_config(&problem);

	if (data)
		cyaml_free(&config, schema, data, 0);
}

int zr_yaml_load_file_checked(void **out, const char *path,
			      const cyaml_schema_value_t *schema,
			      const struct zr_field_rule *rules)
{
	size_t length = 0;
	char *text = NULL;
	int error = zr_yaml_read_file(&text, &length, path);

	if (error < 0)
		return error;
	error = zr_yaml_load_checked(out, path, text, length, schema, rules);
	free(text);
	return error;
}

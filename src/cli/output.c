#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

/* Size of a table field, with the final NUL; longer values are cut. */
#define FIELD_SIZE 96

void cli_print_json(const json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);

	if (!text)
		abort();
	puts(text);
	free(text);
}

/* Finds the member that @path names; `a.b` is member `b` of member `a`. */
static const json_t *find_member(const json_t *row, const char *path)
{
	const char *dot = strchr(path, '.');
	char first[FIELD_SIZE];

	if (!dot)
		return json_object_get(row, path);
	snprintf(first, sizeof(first), "%.*s", (int)(dot - path), path);
	return find_member(json_object_get(row, first), dot + 1);
}

static void format_field(char out[FIELD_SIZE], const json_t *row,
			 const char *path)
{
	const json_t *value = find_member(row, path);

	if (json_is_string(value))
		snprintf(out, FIELD_SIZE, "%s", json_string_value(value));
	else if (json_is_integer(value))
		snprintf(out, FIELD_SIZE, "%" JSON_INTEGER_FORMAT,
			 json_integer_value(value));
	else if (json_is_boolean(value))
		snprintf(out, FIELD_SIZE, "%s",
			 json_is_true(value) ? "yes" : "no");
	else
		snprintf(out, FIELD_SIZE, "-");
	if (!*out)
		snprintf(out, FIELD_SIZE, "-");
}

static void measure_columns(size_t widths[CLI_COLUMNS_MAX], const json_t *rows,
			    const char *const *columns)
{
	char field[FIELD_SIZE];
	json_t *row;
	size_t index;
	size_t i;

	for (i = 0; columns[i]; i++)
		widths[i] = strlen(columns[i]);
	json_array_foreach (rows, index, row) {
		for (i = 0; columns[i]; i++) {
			format_field(field, row, columns[i]);
			if (strlen(field) > widths[i])
				widths[i] = strlen(field);
		}
	}
}

/* Prints the header when @row is NULL. */
static void print_row(const json_t *row, const char *const *columns,
		      const size_t widths[CLI_COLUMNS_MAX])
{
	char field[FIELD_SIZE];
	size_t i;

	for (i = 0; columns[i]; i++) {
		if (row)
			format_field(field, row, columns[i]);
		else
			snprintf(field, sizeof(field), "%s", columns[i]);
		if (columns[i + 1])
			printf("%-*s  ", (int)widths[i], field);
		else
			puts(field);
	}
}

void cli_print_table(const struct cli_options *options, const json_t *rows,
		     const char *const *columns)
{
	size_t widths[CLI_COLUMNS_MAX] = {0};
	json_t *row;
	size_t index;

	if (options->json) {
		cli_print_json(rows);
		return;
	}
	measure_columns(widths, rows, columns);
	print_row(NULL, columns, widths);
	json_array_foreach (rows, index, row) {
		print_row(row, columns, widths);
	}
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define CELL_MAX 96

void cli_print_json(const json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);

	if (!text)
		abort();
	puts(text);
	free(text);
}

static const json_t *member(const json_t *row, const char *path)
{
	const char *dot = strchr(path, '.');
	char head[CELL_MAX];

	if (!dot)
		return json_object_get(row, path);
	snprintf(head, sizeof(head), "%.*s", (int)(dot - path), path);
	return member(json_object_get(row, head), dot + 1);
}

static void print_cell(char out[CELL_MAX], const json_t *row, const char *path)
{
	const json_t *value = member(row, path);

	if (json_is_string(value))
		snprintf(out, CELL_MAX, "%s", json_string_value(value));
	else if (json_is_integer(value))
		snprintf(out, CELL_MAX, "%" JSON_INTEGER_FORMAT,
			 json_integer_value(value));
	else if (json_is_boolean(value))
		snprintf(out, CELL_MAX, "%s",
			 json_is_true(value) ? "yes" : "no");
	else
		snprintf(out, CELL_MAX, "-");
	if (!*out)
		snprintf(out, CELL_MAX, "-");
}

static void measure(size_t widths[CLI_COLUMNS_MAX], const json_t *rows,
		    const char *const *columns)
{
	char cell[CELL_MAX];
	json_t *row;
	size_t index;
	size_t i;

	for (i = 0; columns[i]; i++)
		widths[i] = strlen(columns[i]);
	json_array_foreach (rows, index, row) {
		for (i = 0; columns[i]; i++) {
			print_cell(cell, row, columns[i]);
			if (strlen(cell) > widths[i])
				widths[i] = strlen(cell);
		}
	}
}

static void print_row(const json_t *row, const char *const *columns,
		      const size_t widths[CLI_COLUMNS_MAX])
{
	char cell[CELL_MAX];
	size_t i;

	for (i = 0; columns[i]; i++) {
		if (row)
			print_cell(cell, row, columns[i]);
		else
			snprintf(cell, sizeof(cell), "%s", columns[i]);
		if (columns[i + 1])
			printf("%-*s  ", (int)widths[i], cell);
		else
			puts(cell);
	}
}

void cli_table(const struct cli_options *options, const json_t *rows,
	       const char *const *columns)
{
	size_t widths[CLI_COLUMNS_MAX] = {0};
	json_t *row;
	size_t index;

	if (options->json) {
		cli_print_json(rows);
		return;
	}
	measure(widths, rows, columns);
	print_row(NULL, columns, widths);
	json_array_foreach (rows, index, row) {
		print_row(row, columns, widths);
	}
}

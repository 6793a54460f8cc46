#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/check.h"
#include "config/schema.h"

#define ROW_MAX 512
#define PAGE "docs/CONFIGURATION.md"

/*
 * Compares docs/CONFIGURATION.md with the schemas: the page must have a row for
 * each field of the schemas, with its type, unit, default and range, and no
 * other rows.
 */
struct page {
	char *text;
	unsigned int fields;
	unsigned int missing;
};

static char *read_page(void)
{
	const char *here = strstr(__FILE__, "tests/unit/");
	char path[ROW_MAX];
	FILE *file;
	char *text;
	long size;

	ck_assert_ptr_nonnull(here);
	snprintf(path, sizeof(path), "%.*s" PAGE, (int)(here - __FILE__),
		 __FILE__);
	file = fopen(path, "r");
	ck_assert_ptr_nonnull(file);
	fseek(file, 0, SEEK_END);
	size = ftell(file);
	rewind(file);
	text = calloc(1, (size_t)size + 1);
	ck_assert_ptr_nonnull(text);
	ck_assert_uint_eq(fread(text, 1, (size_t)size, file), (size_t)size);
	fclose(file);
	return text;
}

static const char *type_name(const cyaml_schema_value_t *schema)
{
	switch (schema->type) {
	case CYAML_UINT:
		return "integer";
	case CYAML_FLOAT:
		return "number";
	case CYAML_BOOL:
		return "boolean";
	case CYAML_ENUM:
		return "word";
	case CYAML_STRING:
		return "text";
	case CYAML_SEQUENCE:
		return "list";
	default:
		return "fields";
	}
}

static void describe_enum(char *out, size_t size,
			  const cyaml_schema_value_t *schema)
{
	size_t used = 0;
	uint32_t i;

	for (i = 0; i < schema->enumeration.count; i++)
		used += (size_t)snprintf(out + used, size - used, "%s%s",
					 i ? ", " : "",
					 schema->enumeration.strings[i].str);
}

static void describe_range(char *out, size_t size,
			   const cyaml_schema_value_t *schema,
			   const struct zr_field_rule *rule)
{
	char allowed[ROW_MAX / 2] = "";

	snprintf(out, size, "-");
	if (schema->type == CYAML_ENUM)
		describe_enum(out, size, schema);
	else if (schema->type == CYAML_BOOL)
		snprintf(out, size, "true, false");
	else if (rule && rule->kind == ZR_RULE_RANGE)
		snprintf(out, size, "%.12g to %.12g", rule->min, rule->max);
	if (schema->type != CYAML_STRING)
		return;
	if (rule && rule->kind != ZR_RULE_ANY)
		zr_rule_describe(allowed, sizeof(allowed), rule);
	snprintf(out, size, "%u to %u bytes%s%s", schema->string.min,
		 schema->string.max, *allowed ? ": " : "", allowed);
}

static void check_row(struct page *page, const char *path,
		      const cyaml_schema_value_t *schema,
		      const struct zr_field_rule *rules)
{
	const struct zr_field_rule *rule = zr_field_rule_find(rules, path);
	bool optional = schema->flags & CYAML_FLAG_OPTIONAL;
	const char *default_text = optional ? "none" : "required";
	char range[ROW_MAX / 2];
	char row[ROW_MAX];

	if (rule)
		default_text = rule->absent ? rule->absent : "required";
	describe_range(range, sizeof(range), schema, rule);
	snprintf(row, sizeof(row), "| `%s` | %s | %s | %s | %s |", path,
		 type_name(schema), rule && rule->unit ? rule->unit : "-",
		 default_text, range);
	page->fields++;
	if (strstr(page->text, row))
		return;
	page->missing++;
	printf("missing on the page: %s\n", row);
}

static void check_fields(struct page *page, const char *path,
			 const cyaml_schema_field_t *fields,
			 const struct zr_field_rule *rules);

static void check_field(struct page *page, const char *path,
			const cyaml_schema_value_t *schema,
			const struct zr_field_rule *rules)
{
	char child_path[ZR_FIELD_PATH_MAX + 2];

	check_row(page, path, schema, rules);
	if (schema->type == CYAML_MAPPING)
		check_fields(page, path, schema->mapping.fields, rules);
	if (schema->type != CYAML_SEQUENCE)
		return;
	snprintf(child_path, sizeof(child_path), "%s[]", path);
	schema = schema->sequence.entry;
	if (schema->type == CYAML_MAPPING)
		check_fields(page, child_path, schema->mapping.fields, rules);
	else
		check_row(page, child_path, schema, rules);
}

static void check_fields(struct page *page, const char *path,
			 const cyaml_schema_field_t *fields,
			 const struct zr_field_rule *rules)
{
	char child_path[ZR_FIELD_PATH_MAX];

	for (; fields->key; fields++) {
		snprintf(child_path, sizeof(child_path), "%s%s%s", path,
			 *path ? "." : "", fields->key);
		check_field(page, child_path, &fields->value, rules);
	}
}

static unsigned int count_rows(const char *text)
{
	unsigned int rows = 0;

	while ((text = strstr(text, "\n| `"))) {
		rows++;
		text++;
	}
	return rows;
}

START_TEST(test_page_matches_the_schemas)
{
	struct page page = {.text = read_page()};

	check_fields(&page, "", zr_config_file_schema.mapping.fields,
		     zr_config_rules);
	check_fields(&page, "", zr_settings_schema.mapping.fields,
		     zr_settings_rules);
	ck_assert_uint_eq(page.missing, 0);
	/* All rows were found, so more rows would be of no field. */
	ck_assert_uint_eq(count_rows(page.text), page.fields);
	free(page.text);
}
END_TEST

static unsigned int count_rules(const struct zr_field_rule *rules)
{
	unsigned int count = 0;

	while (rules[count].path)
		count++;
	return count;
}

static unsigned int count_fields_with_rule(const char *path,
					   const cyaml_schema_field_t *fields,
					   const struct zr_field_rule *rules)
{
	char child_path[ZR_FIELD_PATH_MAX];
	unsigned int count = 0;

	for (; fields->key; fields++) {
		const cyaml_schema_value_t *schema = &fields->value;

		snprintf(child_path, sizeof(child_path), "%s%s%s", path,
			 *path ? "." : "", fields->key);
		count += zr_field_rule_find(rules, child_path) != NULL;
		if (schema->type == CYAML_SEQUENCE) {
			schema = schema->sequence.entry;
			strncat(child_path, "[]",
				sizeof(child_path) - strlen(child_path) - 1);
			count += zr_field_rule_find(rules, child_path) != NULL;
		}
		if (schema->type == CYAML_MAPPING)
			count += count_fields_with_rule(
				child_path, schema->mapping.fields, rules);
	}
	return count;
}

/* A rule for a path that is no field's would never be applied. */
START_TEST(test_every_rule_has_a_field)
{
	ck_assert_uint_eq(
		count_fields_with_rule("", zr_config_schema.mapping.fields,
				       zr_config_rules),
		count_rules(zr_config_rules));
	ck_assert_uint_eq(
		count_fields_with_rule("", zr_settings_schema.mapping.fields,
				       zr_settings_rules),
		count_rules(zr_settings_rules));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config_page");
	TCase *tcase = tcase_create("config_page");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_page_matches_the_schemas);
	tcase_add_test(tcase, test_every_rule_has_a_field);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

#ifndef ZR_CONFIG_RULES_H
#define ZR_CONFIG_RULES_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Rules of fields
 *
 * A rule says of a field what a libcyaml schema can't express: its range, its
 * allowed characters, its unit and its default. docs/CONFIGURATION.md documents
 * the same; test_config_page compares the two.
 */

/**
 * enum zr_rule_kind - values that a rule allows
 * @ZR_RULE_RANGE: a number from @min to @max
 * @ZR_RULE_NAME: one or more letters, digits, '-', '_' and '.'
 * @ZR_RULE_HEX: digits and the letters a to f
 * @ZR_RULE_ADDRESS: IP address and port
 * @ZR_RULE_ANY: whatever the schema allows
 */
enum zr_rule_kind {
	ZR_RULE_RANGE,
	ZR_RULE_NAME,
	ZR_RULE_HEX,
	ZR_RULE_ADDRESS,
	ZR_RULE_ANY,
};

/**
 * struct zr_field_rule - the rule of one field
 * @path: path of the field in the document, such as `teams[].share`
 * @kind: values that are allowed
 * @min: minimum of a number
 * @max: maximum of a number
 * @unit: unit of a number, or NULL
 * @absent: default value, or what absence means; NULL for a required field
 */
struct zr_field_rule {
	const char *path;
	enum zr_rule_kind kind;
	double min;
	double max;
	const char *unit;
	const char *absent;
};

/** Rules of the configuration, terminated by a NULL path. */
extern const struct zr_field_rule zr_config_rules[];

/** Rules of a settings file, terminated by a NULL path. */
extern const struct zr_field_rule zr_settings_rules[];

/** zr_field_rule_find() - return the rule of the field at @path, or NULL */
const struct zr_field_rule *
zr_field_rule_find(const struct zr_field_rule *rules, const char *path);

/** zr_rule_allows() - return whether a rule allows a scalar's text */
bool zr_rule_allows(const struct zr_field_rule *rule, const char *text);

/** zr_rule_describe() - describe in English what a rule allows */
void zr_rule_describe(char *out, size_t size, const struct zr_field_rule *rule);

#endif

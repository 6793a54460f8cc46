#ifndef ZR_CONFIG_RULES_H
#define ZR_CONFIG_RULES_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Rules of fields
 *
 * What a libcyaml schema cannot say of a field: its range, its characters, its
 * unit, and what holds when it is absent. docs/CONFIGURATION.md states the
 * same, and a test holds the two against each other.
 */

/**
 * enum zr_rule_kind - what a rule restricts
 * @ZR_RULE_RANGE: a number from @min to @max
 * @ZR_RULE_NAME: letters, digits, '-', '_' and '.'
 * @ZR_RULE_HEX: hexadecimal digits
 * @ZR_RULE_ADDRESS: IP number and port
 * @ZR_RULE_ANY: nothing beyond the schema
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
 * @path: where it stands, such as `teams[].share`
 * @kind: what is restricted
 * @min: least value of a number
 * @max: greatest value of a number
 * @unit: unit of a number, or NULL
 * @absent: what holds when it is absent; NULL for a required field
 */
struct zr_field_rule {
	const char *path;
	enum zr_rule_kind kind;
	double min;
	double max;
	const char *unit;
	const char *absent;
};

/** Rules of the operators' folder and of the settings, ended by a NULL path. */
extern const struct zr_field_rule zr_config_rules[];
extern const struct zr_field_rule zr_settings_rules[];

/** zr_field_rule_find() - the rule of the field at @path, or NULL */
const struct zr_field_rule *
zr_field_rule_find(const struct zr_field_rule *rules, const char *path);

/** zr_rule_allows() - whether a scalar's text keeps a rule */
bool zr_rule_allows(const struct zr_field_rule *rule, const char *text);

/** zr_rule_describe() - what a rule allows, for error texts and pages */
void zr_rule_describe(char *out, size_t size, const struct zr_field_rule *rule);

#endif

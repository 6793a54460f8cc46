#ifndef ZR_CONFIG_SCHEMA_H
#define ZR_CONFIG_SCHEMA_H

#include <cyaml/cyaml.h>

#include "config/rules.h"
#include "zinniarack/config.h"

/**
 * DOC: Schema of the configuration
 */

/** The libcyaml schema of a document in force. */
extern const cyaml_schema_value_t zr_config_schema;

/** The same without the fields that only the system sets. */
extern const cyaml_schema_value_t zr_config_file_schema;

/** The libcyaml schema of a settings file. */
extern const cyaml_schema_value_t zr_settings_schema;

/**
 * struct zr_config_error - what zr_config_check() found wrong
 * @section: the list, such as "queues"
 * @name: name or id of the item in it
 * @field: the field at fault
 * @detail: what is wrong and what is allowed
 */
struct zr_config_error {
	const char *section;
	const char *name;
	const char *field;
	char detail[160];
};

/**
 * zr_config_check() - check what the schema cannot: references between items
 * @out: what is wrong
 * @config: the document
 *
 * Return: 0, ZR_E_INVALID, or ZR_E_CONFLICT for a name declared twice.
 */
int zr_config_check(struct zr_config_error *out,
		    const struct zr_config *config);

/** zr_config_fill_defaults() - set what absent fields stand for */
void zr_config_fill_defaults(struct zr_config *config);

/** Names of the log's levels and formats in settings files. */
#define ZR_LOG_LEVELS 4
#define ZR_LOG_FORMATS 2
extern const cyaml_strval_t zr_log_levels[ZR_LOG_LEVELS];
extern const cyaml_strval_t zr_log_formats[ZR_LOG_FORMATS];

#endif

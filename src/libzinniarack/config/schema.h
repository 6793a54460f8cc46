#ifndef ZR_CONFIG_SCHEMA_H
#define ZR_CONFIG_SCHEMA_H

#include <cyaml/cyaml.h>

#include "config/rules.h"
#include "zinniarack/config.h"

/**
 * DOC: Schemas of the configuration and of settings files
 */

/** The libcyaml schema of &struct zr_config. */
extern const cyaml_schema_value_t zr_config_schema;

/** The same without version and history, which only the system sets. */
extern const cyaml_schema_value_t zr_config_file_schema;

/** The libcyaml schema of &struct zr_settings. */
extern const cyaml_schema_value_t zr_settings_schema;

/**
 * struct zr_config_error - an error found by zr_config_check()
 * @section: name of the list, such as "queues"
 * @name: name or id of the item in the list
 * @field: name of the invalid field of the item
 * @detail: what is wrong and what is allowed
 */
struct zr_config_error {
	const char *section;
	const char *name;
	const char *field;
	char detail[160];
};

/**
 * zr_config_check() - check unique names and the references between items
 * @out: the error, if any; points into @config
 * @config: the document
 *
 * A libcyaml schema can't express these checks.
 *
 * Return: 0, ZR_E_INVALID, or ZR_E_CONFLICT for a name declared twice.
 */
int zr_config_check(struct zr_config_error *out,
		    const struct zr_config *config);

/**
 * zr_config_find_ineffective() - find entries that have no effect
 * @config: a document that zr_config_check() accepts
 * @knows_worker: as for &struct zr_config_review
 * @worker_ctx: passed to @knows_worker
 * @found: called for each entry; @finding points into @config
 * @ctx: passed to @found
 */
void zr_config_find_ineffective(
	const struct zr_config *config,
	bool (*knows_worker)(void *ctx, const char *worker), void *worker_ctx,
	void (*found)(void *ctx, const struct zr_config_error *finding),
	void *ctx);

/** zr_config_fill_defaults() - set the default values of absent fields */
void zr_config_fill_defaults(struct zr_config *config);

/** Number of entries of zr_log_levels and zr_log_formats. */
#define ZR_LOG_LEVELS 4
#define ZR_LOG_FORMATS 2

/** Names of the log levels and formats in settings files. */
extern const cyaml_strval_t zr_log_levels[ZR_LOG_LEVELS];
extern const cyaml_strval_t zr_log_formats[ZR_LOG_FORMATS];

#endif

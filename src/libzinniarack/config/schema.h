#ifndef ZR_CONFIG_SCHEMA_H
#define ZR_CONFIG_SCHEMA_H

#include <cyaml/cyaml.h>

#include "zinniarack/config.h"

/** The libcyaml schema of a configuration document and of each file of it. */
extern const cyaml_schema_value_t zr_config_schema;

/**
 * zr_config_check() - check what the schema cannot: references between items
 * @config: the document
 * @source: what error texts call it
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_config_check(const struct zr_config *config, const char *source);

#endif

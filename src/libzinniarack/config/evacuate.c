#include <string.h>

#include "zinniarack/config.h"
#include "zinniarack/errors.h"

/**
 * DOC: Evacuation of a failure domain
 *
 * Checks of a change before it is made, with an error code for each reason to
 * refuse it. zr_config_check() refuses the resulting documents as well.
 */

static int check_declared(const struct zr_config *config, const char *domain)
{
	uint32_t i;

	for (i = 0; i < config->failure_domains_count; i++) {
		if (!strcmp(config->failure_domains[i].name, domain))
			return 0;
	}
	return zr_error_set(ZR_E_NOT_FOUND,
			    "'%s' is not a declared failure domain", domain);
}

int zr_config_check_evacuate(const struct zr_config *config, const char *domain)
{
	int error = check_declared(config, domain);

	if (error < 0)
		return error;
	if (zr_config_is_evacuated(config, domain))
		return zr_error_set(ZR_E_EXISTS,
				    "failure domain '%s' is evacuated already",
				    domain);
	if (config->evacuated_count + 1 >= config->failure_domains_count)
		return zr_error_set(ZR_E_STATE,
				    "'%s' is the last failure domain that is "
				    "not evacuated; nothing could run",
				    domain);
	return 0;
}

int zr_config_check_restore(const struct zr_config *config, const char *domain)
{
	int error = check_declared(config, domain);

	if (error < 0 || zr_config_is_evacuated(config, domain))
		return error;
	return zr_error_set(ZR_E_STATE, "failure domain '%s' is not evacuated",
			    domain);
}

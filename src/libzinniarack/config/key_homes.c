#include <string.h>
#include <xxhash.h>

#include "zinniarack/config.h"

/* Rendezvous hashing: a key's home is the domain with the highest weight. */
static uint64_t domain_weight(const char *domain, const char *key)
{
	return XXH64(key, strlen(key), XXH64(domain, strlen(domain), 0));
}

const char *zr_config_home_domain(const struct zr_config *config,
				  const char *key)
{
	const char *best = NULL;
	uint64_t best_weight = 0;
	uint32_t i;

	for (i = 0; i < config->failure_domains_count; i++) {
		const struct zr_config_domain *domain =
			&config->failure_domains[i];
		uint64_t weight = domain_weight(domain->name, key);

		if (domain->no_keys || (best && weight <= best_weight))
			continue;
		best = domain->name;
		best_weight = weight;
	}
	return best;
}

static bool is_home(const struct zr_config *config, const char *name)
{
	uint32_t i;

	for (i = 0; i < config->failure_domains_count; i++) {
		if (!strcmp(config->failure_domains[i].name, name))
			return !config->failure_domains[i].no_keys;
	}
	return false;
}

/* Whether a domain can be a home in @a but not in @b. */
static bool has_home_not_in(const struct zr_config *a,
			    const struct zr_config *b)
{
	uint32_t i;

	for (i = 0; i < a->failure_domains_count; i++) {
		if (!a->failure_domains[i].no_keys &&
		    !is_home(b, a->failure_domains[i].name))
			return true;
	}
	return false;
}

static bool has_homes(const struct zr_config *config)
{
	return zr_config_home_domain(config, "") != NULL;
}

bool zr_config_moves_keys(const struct zr_config *from,
			  const struct zr_config *to)
{
	/* No request with a key was accepted without a home. */
	if (!from || !has_homes(from))
		return false;
	return has_home_not_in(from, to) || has_home_not_in(to, from);
}

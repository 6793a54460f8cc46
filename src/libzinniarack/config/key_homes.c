#include <string.h>
#include <xxhash.h>

#include "zinniarack/config.h"

/* Rendezvous hashing: the domain with the highest weight for the key. */
static uint64_t weigh(const char *domain, const char *key)
{
	return XXH64(key, strlen(key), XXH64(domain, strlen(domain), 0));
}

const char *zr_config_home(const struct zr_config *config, const char *key)
{
	const char *best = NULL;
	uint64_t best_weight = 0;
	uint32_t i;

	for (i = 0; i < config->failure_domains_count; i++) {
		const struct zr_config_domain *domain =
			&config->failure_domains[i];
		uint64_t weight = weigh(domain->name, key);

		if (domain->no_keys || (best && weight <= best_weight))
			continue;
		best = domain->name;
		best_weight = weight;
	}
	return best;
}

static bool takes_keys(const struct zr_config *config, const char *name)
{
	uint32_t i;

	for (i = 0; i < config->failure_domains_count; i++) {
		if (!strcmp(config->failure_domains[i].name, name))
			return !config->failure_domains[i].no_keys;
	}
	return false;
}

/* Whether @b lacks a home that @a has. */
static bool lacks_home(const struct zr_config *a, const struct zr_config *b)
{
	uint32_t i;

	for (i = 0; i < a->failure_domains_count; i++) {
		if (!a->failure_domains[i].no_keys &&
		    !takes_keys(b, a->failure_domains[i].name))
			return true;
	}
	return false;
}

static bool has_homes(const struct zr_config *config)
{
	return zr_config_home(config, "") != NULL;
}

bool zr_config_moves_keys(const struct zr_config *from,
			  const struct zr_config *to)
{
	/* Without a home, no key was ever taken. */
	if (!from || !has_homes(from))
		return false;
	return lacks_home(from, to) || lacks_home(to, from);
}

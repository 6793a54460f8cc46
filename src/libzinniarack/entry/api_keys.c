#include <string.h>
#include <strings.h>

#include "entry/private.h"
#include "zinniarack/errors.h"

#define BEARER "Bearer "

/* Returns the key in the request, or NULL if there is none. */
static const char *get_credential(struct zr_http_exchange *exchange)
{
	const char *header = zr_http_get_header(exchange, "authorization");

	if (!header || strncasecmp(header, BEARER, strlen(BEARER)))
		return NULL;
	return header + strlen(BEARER);
}

/*
 * Finds an operator's key in the host's settings, which are available even
 * without a configuration.
 */
static bool find_settings_operator(const struct zr_config_key **out,
				   const struct zr_entry *entry,
				   const char *credential)
{
	const struct zr_settings *settings = entry->settings;

	return !zr_config_authenticate(out, settings->operators,
				       settings->operators_count, credential);
}

int entry_authenticate_key(const struct zr_config_key **out,
			   struct zr_entry *entry,
			   struct zr_http_exchange *exchange)
{
	const struct zr_config *config = zr_config_watch_current(entry->config);
	const char *credential = get_credential(exchange);

	if (!credential) {
		zr_error_set(ZR_E_UNAUTHORIZED, "the request has no key");
		return ZR_E_UNAUTHORIZED;
	}
	if (find_settings_operator(out, entry, credential))
		return 0;
	if (!config) {
		zr_error_set(ZR_E_STALE_CONFIG,
			     "no configuration has been applied yet");
		return ZR_E_STALE_CONFIG;
	}
	return zr_config_authenticate(out, config->keys, config->keys_count,
				      credential);
}

/* Returns whether the key is an operator's key from the settings. */
static bool is_settings_operator(const struct zr_config_key *key,
				 const struct zr_entry *entry)
{
	uint32_t i;

	for (i = 0; i < entry->settings->operators_count; i++) {
		if (key == &entry->settings->operators[i])
			return true;
	}
	return false;
}

bool entry_is_operator(const struct zr_config_key *key,
		       const struct zr_entry *entry)
{
	return is_settings_operator(key, entry) || key->role == ZR_KEY_OPERATOR;
}

/*
 * Refuses a key of the configuration if nobody can confirm that the keys are
 * still valid: it may have been revoked without this host knowing.
 */
static int check_keys_confirmed(struct zr_entry *entry,
				const struct zr_config_key *key)
{
	int error;

	if (is_settings_operator(key, entry))
		return 0;
	error = zr_config_watch_check_keys(entry->config);
	if (error < 0)
		entry->keys_unconfirmed_total->value++;
	return error;
}

int entry_authenticate_operator(const struct zr_config_key **out,
				struct zr_entry *entry,
				struct zr_http_exchange *exchange)
{
	int error = entry_authenticate_key(out, entry, exchange);

	if (error)
		return error;
	if (!entry_is_operator(*out, entry))
		return zr_error_set(ZR_E_FORBIDDEN,
				    "an operator's key is required");
	return check_keys_confirmed(entry, *out);
}

int entry_authenticate_team(const char **out, struct zr_entry *entry,
			    struct zr_http_exchange *exchange)
{
	const struct zr_config_key *key = NULL;
	int error = entry_authenticate_key(&key, entry, exchange);

	if (error)
		return error;
	error = check_keys_confirmed(entry, key);
	if (error)
		return error;
	if (entry_is_operator(key, entry))
		return zr_error_set(
			ZR_E_FORBIDDEN,
			"a team's key is required, not an operator's");
	*out = key->team;
	return 0;
}

int entry_authenticate_reader(const char **out, struct zr_entry *entry,
			      struct zr_http_exchange *exchange)
{
	const struct zr_config_key *key = NULL;
	int error = entry_authenticate_key(&key, entry, exchange);

	if (error)
		return error;
	*out = entry_is_operator(key, entry) ? "" : key->team;
	return check_keys_confirmed(entry, key);
}

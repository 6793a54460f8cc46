#include <string.h>
#include <strings.h>

#include "entry/private.h"
#include "zinniarack/errors.h"

#define BEARER "Bearer "

static const char *credential_of(struct zr_http_exchange *exchange)
{
	const char *header = zr_http_header(exchange, "authorization");

	if (!header || strncasecmp(header, BEARER, strlen(BEARER)))
		return NULL;
	return header + strlen(BEARER);
}

/* Operators that the settings name; they need no configuration. */
static bool find_operator(const struct zr_config_key **out,
			  const struct zr_entry *entry, const char *credential)
{
	const struct zr_settings *settings = entry->settings;

	return !zr_config_authenticate(out, settings->operators,
				       settings->operators_count, credential);
}

int entry_caller(const struct zr_config_key **out, struct zr_entry *entry,
		 struct zr_http_exchange *exchange)
{
	const struct zr_config *config = zr_config_watch_current(entry->config);
	const char *credential = credential_of(exchange);

	if (!credential) {
		zr_error_set(ZR_E_UNAUTHORIZED, "no key was presented");
		return ZR_E_UNAUTHORIZED;
	}
	if (find_operator(out, entry, credential))
		return 0;
	if (!config) {
		zr_error_set(ZR_E_STALE_CONFIG, "no configuration yet");
		return ZR_E_STALE_CONFIG;
	}
	return zr_config_authenticate(out, config->keys, config->keys_count,
				      credential);
}

static bool is_in_settings(const struct zr_config_key *key,
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
	return is_in_settings(key, entry) || key->role == ZR_KEY_OPERATOR;
}

/* A key that may have been withdrawn unseen is as good as none. */
static int check_fresh(struct zr_entry *entry, const struct zr_config_key *key)
{
	int error;

	if (is_in_settings(key, entry))
		return 0;
	error = zr_config_watch_check_keys(entry->config);
	if (error < 0)
		entry->unconfirmed->value++;
	return error;
}

int entry_operator(const struct zr_config_key **out, struct zr_entry *entry,
		   struct zr_http_exchange *exchange)
{
	int error = entry_caller(out, entry, exchange);

	if (error)
		return error;
	if (!entry_is_operator(*out, entry))
		return zr_error_set(ZR_E_FORBIDDEN,
				    "an operator's key is needed");
	return check_fresh(entry, *out);
}

int entry_authenticate(const char **out, struct zr_entry *entry,
		       struct zr_http_exchange *exchange)
{
	const struct zr_config_key *key = NULL;
	int error = entry_caller(&key, entry, exchange);

	if (error)
		return error;
	error = check_fresh(entry, key);
	if (error)
		return error;
	if (entry_is_operator(key, entry))
		return zr_error_set(ZR_E_FORBIDDEN,
				    "a team's key is needed, not an "
				    "operator's");
	*out = key->team;
	return 0;
}

int entry_authenticate_reader(const char **out, struct zr_entry *entry,
			      struct zr_http_exchange *exchange)
{
	const struct zr_config_key *key = NULL;
	int error = entry_caller(&key, entry, exchange);

	if (error)
		return error;
	*out = entry_is_operator(key, entry) ? "" : key->team;
	return check_fresh(entry, key);
}

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "domain/allotment.h"
#include "entry/private.h"
#include "zinniarack/errors.h"

#define PATH_SUFFIX "/recover"

static void on_recovered(void *ctx, int error)
{
	struct entry_call *call = ctx;

	if (error == ZR_E_NOT_FOUND)
		entry_call_finish_error(
			call, error, "the failure domain holds no allotment");
	else if (error < 0)
		entry_call_finish_error(
			call, error,
			"the allotments were not changed; try again");
	else
		entry_call_finish_json(
			call, 200,
			json_pack("{s:s}", "recovered", call->domain));
}

/* Parses `/NAME/recover`. */
static bool parse_path(char out[ZR_NAME_MAX], const char *rest)
{
	size_t length = strlen(rest);
	size_t suffix = strlen(PATH_SUFFIX);

	if (length < suffix + 2 ||
	    strcmp(rest + length - suffix, PATH_SUFFIX) ||
	    length - suffix > ZR_NAME_MAX)
		return false;
	snprintf(out, ZR_NAME_MAX, "%.*s", (int)(length - suffix - 1),
		 rest + 1);
	return !strchr(out, '/');
}

static int check_recover_allowed(struct zr_entry *entry,
				 struct zr_http_exchange *exchange,
				 const char *name)
{
	const char *lost = zr_http_get_query_param(exchange, "lost");
	const struct zr_config_key *key;
	int error = entry_authenticate_operator(&key, entry, exchange);

	if (error < 0)
		return error;
	if (!lost || strcmp(lost, "yes"))
		return zr_error_set(
			ZR_E_INVALID,
			"parameter 'lost' must be 'yes' to confirm that the "
			"failure domain is lost for good; if it still runs, "
			"teams can exceed their limits");
	if (zr_directory_get_active(entry->directory, name))
		return zr_error_set(ZR_E_STATE,
				    "the failure domain has an active "
				    "scheduler, so it is not lost");
	return 0;
}

void entry_handle_domains(struct zr_entry *entry,
			  struct zr_http_exchange *exchange, const char *rest)
{
	char name[ZR_NAME_MAX];
	struct entry_call *call;
	int error;

	if (strcmp(zr_http_get_method(exchange), "POST") ||
	    !parse_path(name, rest)) {
		entry_reply_error(exchange, ZR_E_NOT_FOUND,
				  "POST /v1/domains/NAME/recover");
		return;
	}
	error = check_recover_allowed(entry, exchange, name);
	if (error < 0) {
		entry_reply_error(exchange, error, zr_error_last());
		return;
	}
	call = entry_call_new(entry, exchange);
	snprintf(call->domain, sizeof(call->domain), "%s", name);
	zr_allotments_reclaim(&entry->store, name, on_recovered, call);
}

#include "zinniarack/errors.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static _Thread_local char last_text[ZR_ERROR_TEXT_MAX];

static const char *const error_names[] = {
	"ok",		"out_of_memory", "invalid",
	"not_found",	"exists",	 "conflict",
	"timeout",	"unreachable",	 "outcome_unknown",
	"not_owner",	"fenced",	 "unauthorized",
	"forbidden",	"limit",	 "never_fits",
	"overloaded",	"too_large",	 "protocol",
	"io",		"state",	 "store_down",
	"cancelled",	"shutting_down", "address_in_use",
	"stale_config", "full",		 "evacuated",
};

#define ERROR_COUNT ((int)(sizeof(error_names) / sizeof(error_names[0])))

_Static_assert(ERROR_COUNT == -ZR_E_LAST, "every error needs a name");

const char *zr_error_name(int code)
{
	if (code > 0 || -code >= ERROR_COUNT)
		return "unknown_error";
	return error_names[-code];
}

int zr_error_from_name(const char *name)
{
	int i;

	for (i = 0; i < ERROR_COUNT; i++) {
		if (!strcmp(error_names[i], name))
			return -i;
	}
	return ZR_E_PROTOCOL;
}

int zr_error_set(int code, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vsnprintf(last_text, sizeof(last_text), fmt, args);
	va_end(args);
	return code;
}

const char *zr_error_last(void)
{
	return last_text;
}

#include "config/rules.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/address.h"

const struct zr_field_rule *
zr_field_rule_find(const struct zr_field_rule *rules, const char *path)
{
	for (; rules && rules->path; rules++) {
		if (!strcmp(rules->path, path))
			return rules;
	}
	return NULL;
}

static bool is_name(const char *text)
{
	for (; *text; text++) {
		if (!isalnum((unsigned char)*text) && !strchr("-_.", *text))
			return false;
	}
	return true;
}

static bool is_in_range(const struct zr_field_rule *rule, const char *text)
{
	char *end;
	double value = strtod(text, &end);

	return end != text && !*end && value >= rule->min && value <= rule->max;
}

bool zr_rule_allows(const struct zr_field_rule *rule, const char *text)
{
	struct sockaddr_storage address;

	switch (rule->kind) {
	case ZR_RULE_RANGE:
		return is_in_range(rule, text);
	case ZR_RULE_NAME:
		return *text && is_name(text);
	case ZR_RULE_HEX:
		return strspn(text, "0123456789abcdef") == strlen(text);
	case ZR_RULE_ADDRESS:
		return !zr_address_parse(&address, text);
	default:
		return true;
	}
}

void zr_rule_describe(char *out, size_t size, const struct zr_field_rule *rule)
{
	const char *unit = rule->unit ? rule->unit : "";

	switch (rule->kind) {
	case ZR_RULE_RANGE:
		snprintf(out, size, "%.12g to %.12g%s%s", rule->min, rule->max,
			 *unit ? " " : "", unit);
		return;
	case ZR_RULE_NAME:
		snprintf(out, size, "letters, digits, '-', '_', '.'");
		return;
	case ZR_RULE_HEX:
		snprintf(out, size, "digits and a to f");
		return;
	case ZR_RULE_ADDRESS:
		snprintf(out, size, "IP address and port as 192.0.2.1:80");
		return;
	default:
		snprintf(out, size, "any");
	}
}

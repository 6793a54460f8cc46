#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/config.h"
#include "zinniarack/errors.h"

#define KEY_COUNT 200

static struct zr_config *parse(const char *text)
{
	struct zr_config *config;

	ck_assert_int_eq(zr_config_parse(&config, "test", text, strlen(text)),
			 0);
	return config;
}

START_TEST(test_credential_needs_id_and_secret)
{
	char credential[ZR_CREDENTIAL_MAX];
	char wrong[ZR_CREDENTIAL_MAX + 1];
	char salt[33];
	char sha256[65];
	struct zr_config_key key = {
		.id = "k1", .team = "a", .salt = salt, .sha256 = sha256};
	const struct zr_config_key *found;

	ck_assert_int_eq(zr_config_key_new(credential, salt, sha256, "k1"), 0);
	ck_assert_int_eq(zr_config_authenticate(&found, &key, 1, credential),
			 0);
	ck_assert_ptr_eq(found, &key);
	snprintf(wrong, sizeof(wrong), "%s0", credential);
	ck_assert_int_eq(zr_config_authenticate(&found, &key, 1, wrong),
			 ZR_E_UNAUTHORIZED);
	snprintf(wrong, sizeof(wrong), "k2%s", credential + 2);
	ck_assert_int_eq(zr_config_authenticate(&found, &key, 1, wrong),
			 ZR_E_UNAUTHORIZED);
	ck_assert_int_eq(zr_config_authenticate(&found, &key, 1, "k1"),
			 ZR_E_UNAUTHORIZED);
	ck_assert_int_eq(zr_config_authenticate(&found, &key, 1, NULL),
			 ZR_E_UNAUTHORIZED);
	/*
	 * An empty id and secret. This must not authenticate as the placeholder
	 * that stands for an unknown key.
	 */
	ck_assert_int_eq(zr_config_authenticate(&found, &key, 1, "."),
			 ZR_E_UNAUTHORIZED);
}
END_TEST

START_TEST(test_home_of_a_key_depends_only_on_the_set_of_domains)
{
	struct zr_config *three = parse("failure_domains:\n"
					"  - name: a\n  - name: b\n"
					"  - name: c\n");
	struct zr_config *shuffled = parse("failure_domains:\n"
					   "  - name: c\n  - name: a\n"
					   "  - name: d\n    no_keys: true\n"
					   "  - name: b\n");
	unsigned int per_domain[3] = {0};
	char key[16];
	int i;

	for (i = 0; i < KEY_COUNT; i++) {
		const char *home;

		snprintf(key, sizeof(key), "key-%d", i);
		home = zr_config_home_domain(three, key);
		ck_assert_str_eq(home, zr_config_home_domain(shuffled, key));
		per_domain[*home - 'a']++;
	}
	for (i = 0; i < 3; i++)
		ck_assert_uint_gt(per_domain[i], KEY_COUNT / 6);
	ck_assert(!zr_config_moves_keys(three, shuffled));
	zr_config_free(three);
	zr_config_free(shuffled);
}
END_TEST

START_TEST(test_change_of_homes_is_detected)
{
	struct zr_config *none = parse("policy: waiting-first\n");
	struct zr_config *one = parse("failure_domains:\n  - name: a\n");
	struct zr_config *two = parse("failure_domains:\n  - name: a\n"
				      "  - name: b\n");

	ck_assert(!zr_config_moves_keys(NULL, one));
	ck_assert(!zr_config_moves_keys(none, one));
	ck_assert(zr_config_moves_keys(one, two));
	ck_assert(zr_config_moves_keys(two, one));
	ck_assert(zr_config_moves_keys(one, none));
	ck_assert_ptr_null(zr_config_home_domain(none, "key"));
	zr_config_free(none);
	zr_config_free(one);
	zr_config_free(two);
}
END_TEST

static void append_difference(void *ctx, const char *section, const char *name,
			      enum zr_config_difference difference)
{
	char *text = ctx;

	sprintf(text + strlen(text), "%s %s %s\n", section, name ? name : "-",
		zr_config_difference_name(difference));
}

START_TEST(test_diff_lists_every_item)
{
	struct zr_config *from =
		parse("policy: waiting-first\nteams:\n"
		      "  - name: a\n    share: 1\n  - name: b\n    share: 1\n"
		      "queues:\n  - name: q\n    team: a\n");
	struct zr_config *to =
		parse("policy: shares-first\nversion: 7\nteams:\n"
		      "  - name: a\n    share: 1\n"
		      "    limit:\n      memory_mb: 5\n"
		      "  - name: c\n    share: 1\n"
		      "queues:\n  - name: q\n");
	char text[512] = "";

	zr_config_diff(from, to, append_difference, text);
	ck_assert_str_eq(text, "policy - changed\nteams b removed\n"
			       "teams a changed\nteams c added\n"
			       "queues q changed\n");
	*text = '\0';
	zr_config_diff(to, to, append_difference, text);
	ck_assert_str_eq(text, "");
	zr_config_free(from);
	zr_config_free(to);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config");
	TCase *tcase = tcase_create("config");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_credential_needs_id_and_secret);
	tcase_add_test(tcase,
		       test_home_of_a_key_depends_only_on_the_set_of_domains);
	tcase_add_test(tcase, test_change_of_homes_is_detected);
	tcase_add_test(tcase, test_diff_lists_every_item);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "zinniarack/config.h"
#include "zinniarack/errors.h"

#define YAML_SIZE 512
#define FILE_NAME_SIZE (ZR_NAME_MAX + 32)

/*
 * Generates a key and the YAML that declares it. @team is a team's name, or
 * `--operator` for an operator's key, which belongs to no team.
 */
static int generate_key(char credential[ZR_CREDENTIAL_MAX],
			char yaml[YAML_SIZE], const char *id, const char *team)
{
	char salt[33];
	char sha256[65];
	int error = zr_config_key_new(credential, salt, sha256, id);
	bool is_operator = !strcmp(team, "--operator");

	if (error < 0)
		return error;
	snprintf(yaml, YAML_SIZE,
		 "keys:\n  - id: %s\n    %s: %.64s\n    salt: '%s'\n"
		 "    sha256: '%s'\n",
		 id, is_operator ? "role" : "team",
		 is_operator ? "operator" : team, salt, sha256);
	return 0;
}

static int create_key_file(const char *id, const char *team, const char *path)
{
	char credential[ZR_CREDENTIAL_MAX];
	char yaml[YAML_SIZE];
	int error = generate_key(credential, yaml, id, team);

	if (!error)
		error = cli_create_file(path, yaml);
	if (error < 0)
		return cli_print_error(error);
	printf("%s\n", credential);
	return CLI_EXIT_OK;
}

static int grant_key(const struct cli_options *options, const char *id,
		     const char *team, const char *folder)
{
	char credential[ZR_CREDENTIAL_MAX];
	char yaml[YAML_SIZE];
	char file[FILE_NAME_SIZE];
	int error = generate_key(credential, yaml, id, team);
	int result;

	if (error < 0)
		return cli_print_error(error);
	snprintf(file, sizeof(file), "90-key-%s.yaml", id);
	result = cli_config_apply_file(options, folder, file, yaml);
	if (result == CLI_EXIT_OK)
		printf("%s\n", credential);
	return result;
}

static int withdraw_key(const struct cli_options *options, const char *id,
			const char *folder)
{
	char yaml[YAML_SIZE];
	char file[FILE_NAME_SIZE];

	snprintf(yaml, sizeof(yaml), "keys:\n  - id: %.64s\n    remove: true\n",
		 id);
	snprintf(file, sizeof(file), "95-withdrawn-%.64s.yaml", id);
	return cli_config_apply_file(options, folder, file, yaml);
}

static int run_key(const struct cli_options *options, int argc, char **argv)
{
	if (argc == 4 && !strcmp(argv[0], "new"))
		return create_key_file(argv[1], argv[2], argv[3]);
	if ((argc == 3 || argc == 4) && !strcmp(argv[0], "grant"))
		return grant_key(options, argv[1], argv[2],
				 argc == 4 ? argv[3] : NULL);
	if ((argc == 2 || argc == 3) && !strcmp(argv[0], "withdraw"))
		return withdraw_key(options, argv[1],
				    argc == 3 ? argv[2] : NULL);
	return cli_print_usage(&cli_key);
}

const struct cli_command cli_key = {
	.name = "key",
	.args = "new ID TEAM|--operator FILE.yaml | grant ID TEAM|--operator "
		"[FOLDER] | withdraw ID [FOLDER]",
	.help = "Create a key and write its hash to a file; or grant or "
		"withdraw a key and apply the change at once, as a new file in "
		"FOLDER or, without it, in the applied configuration only. A "
		"new key is stored only as a hash; the key itself is printed "
		"once.",
	.examples = "zinniarack key new op1 --operator folder/05-op1.yaml\n"
		    "zinniarack key grant booth7 booths folder\n"
		    "zinniarack key withdraw booth7 folder\n",
	.run = run_key,
};

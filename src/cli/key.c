#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "zinniarack/config.h"
#include "zinniarack/errors.h"

#define TEXT_MAX 512
#define FILE_MAX (ZR_NAME_MAX + 32)

/* An operator's key belongs to no team. */
static int make(char credential[ZR_CREDENTIAL_MAX], char text[TEXT_MAX],
		const char *id, const char *team)
{
	char salt[33];
	char sha256[65];
	int error = zr_config_key_new(credential, salt, sha256, id);
	bool is_operator = !strcmp(team, "--operator");

	if (error < 0)
		return error;
	snprintf(text, TEXT_MAX,
		 "keys:\n  - id: %s\n    %s: %.64s\n    salt: '%s'\n"
		 "    sha256: '%s'\n",
		 id, is_operator ? "role" : "team",
		 is_operator ? "operator" : team, salt, sha256);
	return 0;
}

static int new_key(const char *id, const char *team, const char *path)
{
	char credential[ZR_CREDENTIAL_MAX];
	char text[TEXT_MAX];
	int error = make(credential, text, id, team);

	if (!error)
		error = cli_file_new(path, text);
	if (error < 0)
		return cli_fail(error);
	printf("%s\n", credential);
	return CLI_EXIT_OK;
}

static int grant(const struct cli_options *options, const char *id,
		 const char *team, const char *folder)
{
	char credential[ZR_CREDENTIAL_MAX];
	char text[TEXT_MAX];
	char file[FILE_MAX];
	int error = make(credential, text, id, team);
	int result;

	if (error < 0)
		return cli_fail(error);
	snprintf(file, sizeof(file), "90-key-%s.yaml", id);
	result = cli_config_change(options, folder, file, text);
	if (result == CLI_EXIT_OK)
		printf("%s\n", credential);
	return result;
}

static int withdraw(const struct cli_options *options, const char *id,
		    const char *folder)
{
	char text[TEXT_MAX];
	char file[FILE_MAX];

	snprintf(text, sizeof(text), "keys:\n  - id: %.64s\n    remove: true\n",
		 id);
	snprintf(file, sizeof(file), "95-withdrawn-%.64s.yaml", id);
	return cli_config_change(options, folder, file, text);
}

static int run(const struct cli_options *options, int argc, char **argv)
{
	if (argc == 4 && !strcmp(argv[0], "new"))
		return new_key(argv[1], argv[2], argv[3]);
	if ((argc == 3 || argc == 4) && !strcmp(argv[0], "grant"))
		return grant(options, argv[1], argv[2],
			     argc == 4 ? argv[3] : NULL);
	if ((argc == 2 || argc == 3) && !strcmp(argv[0], "withdraw"))
		return withdraw(options, argv[1], argc == 3 ? argv[2] : NULL);
	return cli_usage(&cli_key);
}

const struct cli_command cli_key = {
	.name = "key",
	.args = "new ID TEAM|--operator FILE.yaml | grant ID TEAM|--operator "
		"[FOLDER] | withdraw ID [FOLDER]",
	.help = "Make a key and write its hash to a file; or grant or withdraw "
		"one at once, as a new file of the folder. The key is printed "
		"once.",
	.examples = "zinniarack key new op1 --operator folder/05-op1.yaml\n"
		    "zinniarack key grant booth7 booths folder\n"
		    "zinniarack key withdraw booth7 folder\n",
	.run = run,
};

#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "zinniarack/config.h"
#include "zinniarack/errors.h"

static int write_file(const char *path, const char *id, const char *team,
		      const char *salt, const char *sha256)
{
	FILE *file = fopen(path, "wx");

	if (!file)
		return zr_error_set(ZR_E_EXISTS, "%s: cannot be made anew",
				    path);
	fprintf(file,
		"keys:\n  - id: %s\n    team: %s\n    salt: %s\n"
		"    sha256: %s\n",
		id, team, salt, sha256);
	if (fclose(file))
		return zr_error_set(ZR_E_IO, "%s: cannot be written", path);
	return 0;
}

static int run(const struct cli_options *options, int argc, char **argv)
{
	char credential[ZR_CREDENTIAL_MAX];
	char salt[33];
	char sha256[65];
	int error;

	(void)options;
	if (argc != 4 || strcmp(argv[0], "new"))
		return cli_usage(&cli_key);
	error = zr_config_key_new(credential, salt, sha256, argv[1]);
	if (!error)
		error = write_file(argv[3], argv[1], argv[2], salt, sha256);
	if (error < 0)
		return cli_fail(error);
	printf("%s\n", credential);
	return CLI_EXIT_OK;
}

const struct cli_command cli_key = {
	.name = "key",
	.args = "new ID TEAM FILE.yaml",
	.help = "Make a key for a team: print it once, write its hash as a "
		"configuration file.",
	.run = run,
};

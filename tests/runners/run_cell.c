/* Runs a script of fakes/cell_script.h and prints what happens. */
#include <stdio.h>
#include <stdlib.h>

#include "fakes/cell_script.h"
#include "zinniarack/log.h"

#define LINE_MAX_BYTES 256

int main(int argc, char **argv)
{
	struct cell_script *script;
	char line[LINE_MAX_BYTES];
	FILE *file = argc == 2 ? fopen(argv[1], "r") : NULL;

	if (!file) {
		fprintf(stderr, "usage: run_cell SCRIPT\n");
		return 2;
	}
	/* For debugging, write the logs of all hosts to standard error. */
	if (getenv("ZR_TRACE"))
		zr_log_init("run_cell", ZR_LOG_INFO, ZR_LOG_TEXT);
	script = cell_script_new(stdout);
	while (fgets(line, sizeof(line), file))
		cell_script_run(script, line);
	fclose(file);
	cell_script_check_jobs(script);
	printf("violations: %u\n", cell_script_violations(script));
	cell_script_free(script);
	return 0;
}

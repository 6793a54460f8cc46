#ifndef CLI_H
#define CLI_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/config.h"

/**
 * DOC: Operators' command: what the subcommands share
 *
 * One file a subject. call.c: the entry daemon over HTTP. output.c: JSON and
 * tables. change.c: changes of the configuration.
 */

/** Exit codes of the command. */
enum cli_exit {
	CLI_EXIT_OK = 0,
	CLI_EXIT_REFUSED = 1,	  /* the system refused the request */
	CLI_EXIT_USAGE = 2,	  /* the command line is wrong */
	CLI_EXIT_INVALID = 3,	  /* a file or folder is not valid */
	CLI_EXIT_UNREACHABLE = 4, /* no entry daemon answered */
	CLI_EXIT_CONFLICT = 5,	  /* another operator's change was first */
};

/**
 * struct cli_options - options that come before the subcommand
 * @entry: address of an entry daemon
 * @key: the caller's key, or NULL
 * @operator_key: an operator's key, or NULL
 * @json: print JSON
 */
struct cli_options {
	const char *entry;
	const char *key;
	const char *operator_key;
	bool json;
};

/**
 * struct cli_command - a subcommand
 * @name: its name
 * @args: its arguments, for --help
 * @help: what it does, for --help
 * @examples: for `SUBCOMMAND --help`, one a line
 * @run: runs it with the arguments after its name; returns an exit code
 */
struct cli_command {
	const char *name;
	const char *args;
	const char *help;
	const char *examples;
	int (*run)(const struct cli_options *options, int argc, char **argv);
};

extern const struct cli_command cli_config;
extern const struct cli_command cli_teams;
extern const struct cli_command cli_queues;
extern const struct cli_command cli_key;
extern const struct cli_command cli_status;
extern const struct cli_command cli_domains;
extern const struct cli_command cli_workers;
extern const struct cli_command cli_drain;
extern const struct cli_command cli_undrain;
extern const struct cli_command cli_counters;
extern const struct cli_command cli_jobs;
extern const struct cli_command cli_recover;
extern const struct cli_command cli_explain;
extern const struct cli_command cli_cancel;
extern const struct cli_command cli_submit;
extern const struct cli_command cli_job;
extern const struct cli_command cli_trace;

/* call.c */

/**
 * struct cli_answer - an HTTP answer
 * @status: HTTP status
 * @body: NUL-terminated body, to be freed with free()
 * @length: its length
 */
struct cli_answer {
	int status;
	char *body;
	size_t length;
};

/**
 * cli_call() - call the entry daemon and wait for the answer
 * @out: the answer
 * @options: where and with which key
 * @method: HTTP method
 * @path: path and query
 * @body: what to send, or NULL
 * @length: bytes of @body
 *
 * Return: 0 or a negative error number.
 */
int cli_call(struct cli_answer *out, const struct cli_options *options,
	     const char *method, const char *path, const void *body,
	     size_t length);

/** cli_call_operator() - as cli_call(), with the operator's key */
int cli_call_operator(struct cli_answer *out, const struct cli_options *options,
		      const char *method, const char *path, const void *body,
		      size_t length);

/**
 * cli_get_operator() - GET a JSON document with the operator's key
 * @out: the document; NULL when it was refused
 * @options: where and with which key
 * @path: path and query
 *
 * Return: CLI_EXIT_OK, or the exit code after the reason was printed.
 */
int cli_get_operator(json_t **out, const struct cli_options *options,
		     const char *path);

/**
 * cli_show() - print an answer's body and turn its status into an exit code
 * @answer: the answer; its body is freed
 */
int cli_show(struct cli_answer *answer);

/** cli_fail() - print an error and turn it into an exit code */
int cli_fail(int error);

/** cli_usage() - print how a subcommand is used; returns CLI_EXIT_USAGE */
int cli_usage(const struct cli_command *command);

/* output.c */

/** Most columns of a table. */
#define CLI_COLUMNS_MAX 10

/**
 * cli_table() - print an array of objects
 * @options: as JSON, or as a table
 * @rows: the array
 * @columns: names of the members to show, ended by NULL; `a.b` is a member of a
 *	member
 */
void cli_table(const struct cli_options *options, const json_t *rows,
	       const char *const *columns);

/** cli_print_json() - print a document on one line */
void cli_print_json(const json_t *json);

/* change.c */

/**
 * cli_config_read() - the configuration in force
 * @out: the document; NULL when there is none yet
 * @options: where and with which key
 *
 * Return: CLI_EXIT_OK, or the exit code after the reason was printed.
 */
int cli_config_read(struct zr_config **out, const struct cli_options *options);

/**
 * cli_config_put() - make a document the next version
 * @options: where and with which key
 * @config: the document
 * @expected: the version it was made from
 * @move_keys: allow that idempotency keys get another home
 *
 * Return: an exit code; the outcome was printed.
 */
int cli_config_put(const struct cli_options *options,
		   const struct zr_config *config, uint64_t expected,
		   bool move_keys);

/**
 * cli_config_change() - add a file to a folder and apply it, or, without a
 * folder, change the configuration in force
 * @options: where and with which key
 * @folder: the folder, or NULL
 * @file: name of the file
 * @text: the file's YAML
 *
 * A file that is not accepted is taken away again.
 *
 * Return: an exit code; the outcome was printed.
 */
int cli_config_change(const struct cli_options *options, const char *folder,
		      const char *file, const char *text);

/** cli_config_apply() - apply a folder; returns an exit code */
int cli_config_apply(const struct cli_options *options, const char *folder,
		     bool move_keys);

/**
 * cli_file_new() - write a file that must not be there yet
 * @path: the file
 * @text: what it is to hold
 *
 * Return: 0, ZR_E_EXISTS or ZR_E_IO.
 */
int cli_file_new(const char *path, const char *text);

#endif

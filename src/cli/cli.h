#ifndef CLI_H
#define CLI_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/config.h"

/**
 * DOC: Command-line client: declarations shared by the subcommands
 *
 * main.c parses the command line. call.c sends HTTP requests to the entry
 * daemon, output.c prints JSON and tables, and change.c reads and changes the
 * configuration. Every other file implements one or more subcommands.
 *
 * The applied configuration is the version that the daemons use. A
 * configuration folder is an operator's folder of YAML files from which the
 * next version is made.
 */

/** Exit codes of the command. */
enum cli_exit {
	CLI_EXIT_OK = 0,
	CLI_EXIT_REFUSED = 1,	  /* the request was refused or failed */
	CLI_EXIT_USAGE = 2,	  /* the command line is wrong */
	CLI_EXIT_INVALID = 3,	  /* a file or folder is missing or invalid */
	CLI_EXIT_UNREACHABLE = 4, /* no entry daemon responded */
	CLI_EXIT_CONFLICT = 5,	  /* the configuration was changed meanwhile */
};

/**
 * struct cli_options - options given before the subcommand
 * @entry_address: HOST:PORT of an entry daemon
 * @key: the caller's API key, or NULL
 * @operator_key: an operator's API key, or NULL
 * @json: print JSON instead of tables
 */
struct cli_options {
	const char *entry_address;
	const char *key;
	const char *operator_key;
	bool json;
};

/**
 * struct cli_command - a subcommand
 * @name: first word after the options, selects the subcommand
 * @args: synopsis of the arguments, for --help
 * @help: description, for --help
 * @examples: command lines shown by `SUBCOMMAND --help`, one per line
 * @run: runs the subcommand with the arguments after @name; returns an
 *	enum cli_exit
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
extern const struct cli_command cli_domain;
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
 * struct cli_response - an HTTP response
 * @status: HTTP status code
 * @body: NUL-terminated body, to be freed with free()
 * @length: length of @body in bytes, without the final NUL
 */
struct cli_response {
	int status;
	char *body;
	size_t length;
};

/**
 * cli_call() - send a request to the entry daemon and wait for the response
 * @out: the response
 * @options: address of the entry daemon and the key to present
 * @method: HTTP method
 * @path: URL path with its query string
 * @body: request body, or NULL
 * @length: length of @body in bytes
 *
 * Any HTTP status counts as success.
 *
 * Return: 0, ZR_E_UNREACHABLE when no entry daemon responds, or another
 * negative error number; zr_error_last() holds the details.
 */
int cli_call(struct cli_response *out, const struct cli_options *options,
	     const char *method, const char *path, const void *body,
	     size_t length);

/**
 * cli_call_as_operator() - like cli_call(), but present the operator's key
 *
 * Presents the caller's key when no operator's key was given.
 */
int cli_call_as_operator(struct cli_response *out,
			 const struct cli_options *options, const char *method,
			 const char *path, const void *body, size_t length);

/**
 * cli_get_json_as_operator() - GET a JSON document with the operator's key
 * @out: the document, to be freed with json_decref(); NULL on failure
 * @options: address of the entry daemon and the keys
 * @path: URL path with its query string
 *
 * Return: CLI_EXIT_OK, or another exit code after the error has been printed.
 */
int cli_get_json_as_operator(json_t **out, const struct cli_options *options,
			     const char *path);

/**
 * cli_print_response() - print the body of a response
 * @response: the response; its body is freed
 *
 * Return: the exit code that corresponds to the HTTP status.
 */
int cli_print_response(struct cli_response *response);

/**
 * cli_print_error() - print zr_error_last() to standard error
 * @error: the negative error number that zr_error_last() belongs to
 *
 * Return: the exit code that corresponds to @error.
 */
int cli_print_error(int error);

/** cli_print_usage() - print a subcommand's usage; returns CLI_EXIT_USAGE */
int cli_print_usage(const struct cli_command *command);

/* workers.c */

/**
 * cli_collect_workers() - get the names of all workers
 * @out: object whose keys are the names, to be freed with json_decref(); NULL
 *	if a failure domain did not list its workers
 * @options: address of the entry daemon and the keys
 *
 * Return: CLI_EXIT_OK, or another exit code after the error has been printed.
 */
int cli_collect_workers(json_t **out, const struct cli_options *options);

/* output.c */

/** Maximum number of columns of a table. */
#define CLI_COLUMNS_MAX 10

/**
 * cli_print_table() - print an array of JSON objects, one row per object
 * @options: selects between a table and JSON
 * @rows: the array
 * @columns: NULL-terminated list of at most CLI_COLUMNS_MAX member names to
 *	show; `a.b` names member `b` of the object in member `a`
 *
 * With --json, the whole array is printed and @columns is ignored.
 */
void cli_print_table(const struct cli_options *options, const json_t *rows,
		     const char *const *columns);

/** cli_print_json() - print a document on one line */
void cli_print_json(const json_t *json);

/* change.c */

/**
 * cli_config_fetch() - get the applied configuration from the entry daemon
 * @out: the configuration, to be freed with zr_config_free(); NULL when none
 *	has been applied yet
 * @options: address of the entry daemon and the keys
 *
 * Return: CLI_EXIT_OK, or another exit code after the error has been printed.
 */
int cli_config_fetch(struct zr_config **out, const struct cli_options *options);

/**
 * cli_config_put() - propose a configuration as the next version
 * @options: address of the entry daemon and the keys
 * @config: the configuration
 * @expected_version: the version that @config was made from; it is a conflict
 *	when another version is applied by now
 * @move_keys: allow a change of the set of failure domains that store
 *	idempotency keys
 *
 * Return: an exit code, after the result has been printed.
 */
int cli_config_put(const struct cli_options *options,
		   const struct zr_config *config, uint64_t expected_version,
		   bool move_keys);

/**
 * cli_config_apply_file() - apply the declarations of one new YAML file
 * @options: address of the entry daemon and the keys
 * @folder: configuration folder that gets the file and is then applied; NULL
 *	to change only the applied configuration
 * @file: name of the file, without a folder
 * @text: content of the file
 *
 * The file is removed again when the folder with it is refused.
 *
 * Return: an exit code, after the result has been printed.
 */
int cli_config_apply_file(const struct cli_options *options, const char *folder,
			  const char *file, const char *text);

/**
 * cli_config_apply_folder() - make a configuration folder the next version
 * @options: address of the entry daemon and the keys
 * @folder: the configuration folder
 * @move_keys: as for cli_config_put()
 *
 * Return: an exit code, after the result has been printed.
 */
int cli_config_apply_folder(const struct cli_options *options,
			    const char *folder, bool move_keys);

/**
 * cli_config_apply_without_file() - remove a file from a folder and apply it
 * @options: address of the entry daemon and the keys
 * @folder: the configuration folder
 * @file: name of the file, without a folder
 *
 * The file is put back when the folder without it is refused.
 *
 * Return: an exit code, after the result has been printed.
 */
int cli_config_apply_without_file(const struct cli_options *options,
				  const char *folder, const char *file);

/**
 * cli_create_file() - write a new file
 * @path: path of the file, which must not exist yet
 * @text: content
 *
 * Return: 0, ZR_E_EXISTS when the file cannot be created, or ZR_E_IO when it
 * cannot be written.
 */
int cli_create_file(const char *path, const char *text);

#endif

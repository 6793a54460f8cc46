#ifndef CLI_H
#define CLI_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Operators' command: what the subcommands share
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
 * @help: one line, for --help
 * @run: runs it with the arguments after its name; returns an exit code
 */
struct cli_command {
	const char *name;
	const char *args;
	const char *help;
	int (*run)(const struct cli_options *options, int argc, char **argv);
};

extern const struct cli_command cli_config;
extern const struct cli_command cli_key;
extern const struct cli_command cli_status;
extern const struct cli_command cli_submit;
extern const struct cli_command cli_job;

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
 * cli_show() - print an answer's body and turn its status into an exit code
 * @answer: the answer; its body is freed
 */
int cli_show(struct cli_answer *answer);

/** cli_fail() - print an error and turn it into an exit code */
int cli_fail(int error);

/** cli_usage() - print how a subcommand is used; returns CLI_EXIT_USAGE */
int cli_usage(const struct cli_command *command);

#endif

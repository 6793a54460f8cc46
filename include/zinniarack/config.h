#ifndef ZINNIARACK_CONFIG_H
#define ZINNIARACK_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/job.h"

/**
 * DOC: Configuration
 *
 * What operators declare: failure domains, teams, queues, keys, jobs that must
 * keep running, drained workers and the policy. They keep it as a folder of
 * YAML files, which are merged in the order of their names into one document
 * with one version. A document is never changed in place.
 */

/**
 * enum zr_policy - which order of worth rules
 */
enum zr_policy {
	ZR_POLICY_WAITING_FIRST,
	ZR_POLICY_SHARES_FIRST,
};

/**
 * struct zr_config_team - a team and its bounds
 * @name: its name
 * @share: weight of its share when all is full
 * @limit: upper limit of what it may have running across the fleet; a zero
 *	member sets no limit for that resource
 */
struct zr_config_team {
	char *name;
	uint32_t share;
	struct zr_resources limit;
};

/**
 * struct zr_config_queue - where jobs are submitted
 * @name: its name
 * @open: whether it takes jobs without a key
 * @team: whose work it is, for an open queue
 * @worth: added to the worth of each job in it
 */
struct zr_config_queue {
	char *name;
	bool open;
	char *team;
	uint32_t worth;
};

/**
 * enum zr_key_role - what the holder of a key may do
 * @ZR_KEY_TEAM: submit, read and cancel the work of its team
 * @ZR_KEY_OPERATOR: change the configuration, read and cancel any work
 */
enum zr_key_role {
	ZR_KEY_TEAM,
	ZR_KEY_OPERATOR,
};

/**
 * struct zr_config_key - a granted key, kept as a salted hash
 * @id: the public part of the key
 * @role: what its holder may do
 * @team: whose key it is; NULL for an operator's
 * @salt: hexadecimal salt
 * @sha256: hexadecimal SHA-256 of salt and secret
 */
struct zr_config_key {
	char *id;
	enum zr_key_role role;
	char *team;
	char *salt;
	char *sha256;
};

/**
 * struct zr_config_job - a job that is kept in being while it is declared
 * @name: its name
 * @team: whose job it is
 * @queue: the queue it is in
 * @kind: how its tasks are placed
 * @tasks: how many tasks; for a service, replicas; in each failure domain
 * @cpus: processors of each task
 * @memory_mb: memory of each task, in MiB
 * @accelerators: accelerators of each task
 * @worth: higher is placed first
 * @urgent: may preempt work of less worth
 * @run_ms: declared run time of a task, 0 when unknown
 * @command: what the worker runs
 * @failure_domains: where it exists, once in each
 */
struct zr_config_job {
	char *name;
	char *team;
	char *queue;
	enum zr_job_kind kind;
	uint32_t tasks;
	double cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t worth;
	bool urgent;
	uint64_t run_ms;
	char *command;
	char **failure_domains;
	uint32_t failure_domains_count;
};

/** Most changes that a document remembers. */
#define ZR_CONFIG_HISTORY_MAX 16

/**
 * struct zr_config_change - an accepted change
 * @proposal: names the proposal, so that its lost answer can be settled
 * @version: the version that it made
 * @author: id of the key that came with it
 */
struct zr_config_change {
	char *proposal;
	uint64_t version;
	char *author;
};

/** struct zr_config_name - an item that is a name alone */
struct zr_config_name {
	char *name;
};

/**
 * struct zr_config_domain - a failure domain
 * @name: its name
 * @no_keys: it is the home of no idempotency keys
 */
struct zr_config_domain {
	char *name;
	bool no_keys;
};

/**
 * enum zr_unconfirmed_policy - what to do with keys that may have been
 * withdrawn
 * @ZR_UNCONFIRMED_REFUSE: refuse new keyed work as not run
 * @ZR_UNCONFIRMED_ACCEPT: take it by the last configuration known
 */
enum zr_unconfirmed_policy {
	ZR_UNCONFIRMED_REFUSE,
	ZR_UNCONFIRMED_ACCEPT,
};

/**
 * Most bytes of a declared job's name and a failure domain's name together, so
 * that the idempotency key made from them is whole.
 */
#define ZR_DECLARED_NAMES_MAX 106

/** Default of &struct zr_config.key_check.confirm_within_ms. */
#define ZR_CONFIRM_WITHIN_DEFAULT_MS 5000

/**
 * struct zr_config - one version of the configuration
 * @version: raised by one with each accepted change
 * @history: the latest changes, oldest first
 * @policy: the order of worth
 * @key_check: keys while nobody can confirm that they are in force
 * @failure_domains: the failure domains; each idempotency key has its home in
 *	one of those that take keys
 * @teams: teams
 * @queues: queues
 * @keys: keys in force
 * @jobs: jobs that must keep running
 * @drained: workers that get no new work
 */
struct zr_config {
	uint64_t version;
	struct zr_config_change *history;
	uint32_t history_count;
	enum zr_policy policy;
	struct {
		enum zr_unconfirmed_policy when_unconfirmed;
		uint32_t confirm_within_ms;
	} key_check;
	struct zr_config_domain *failure_domains;
	uint32_t failure_domains_count;
	struct zr_config_team *teams;
	uint32_t teams_count;
	struct zr_config_queue *queues;
	uint32_t queues_count;
	struct zr_config_key *keys;
	uint32_t keys_count;
	struct zr_config_job *jobs;
	uint32_t jobs_count;
	struct zr_config_name *drained;
	uint32_t drained_count;
};

/**
 * zr_config_load_folder() - merge and check a folder
 * @out: the merged document with version 0
 * @path: the folder; its files named *.yaml are read in the order of names
 *
 * An item declared in two files is a conflict, unless the later one says
 * `replace: true`. An item that says only its name and `remove: true` takes
 * away the one declared before. The field `replace`, a list of names, does the
 * same for the fields of the document itself, such as `policy`.
 *
 * Return: 0, ZR_E_NOT_FOUND, ZR_E_INVALID or ZR_E_CONFLICT; zr_error_last()
 * names file, line, field and what is allowed.
 */
int zr_config_load_folder(struct zr_config **out, const char *path);

/**
 * zr_config_amend() - a document with the declarations of one more file
 * @out: the new document with version 0
 * @base: the document
 * @source: what error texts call the file
 * @text: its YAML, with `replace` and `remove` as in a folder
 * @length: its length in bytes
 *
 * Return: as zr_config_load_folder().
 */
int zr_config_amend(struct zr_config **out, const struct zr_config *base,
		    const char *source, const void *text, size_t length);

/**
 * zr_config_parse() - read a merged document
 * @out: the document, to be freed with zr_config_free()
 * @source: what error texts call it
 * @text: YAML
 * @length: its length in bytes
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_config_parse(struct zr_config **out, const char *source,
		    const void *text, size_t length);

/**
 * zr_config_print() - write a document as YAML
 * @out: the text, to be freed with free()
 * @out_length: its length in bytes
 * @config: the document
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_config_print(char **out, size_t *out_length,
		    const struct zr_config *config);

/**
 * enum zr_config_difference - how an item differs between two documents
 */
enum zr_config_difference {
	ZR_CONFIG_ADDED,
	ZR_CONFIG_REMOVED,
	ZR_CONFIG_CHANGED,
};

/** zr_config_difference_name() - "added", "removed" or "changed" */
const char *zr_config_difference_name(enum zr_config_difference difference);

/**
 * typedef zr_config_difference_fn - called for each difference
 * @ctx: as given to zr_config_diff()
 * @section: the list, such as "teams", or a field of the document
 * @name: name or id of the item, NULL for a field of the document
 * @difference: what became of it
 */
typedef void (*zr_config_difference_fn)(void *ctx, const char *section,
					const char *name,
					enum zr_config_difference difference);

/**
 * zr_config_diff() - what an operator would see between two documents
 * @from: the former document, NULL for an empty one
 * @to: the later document
 * @each: called for each item that differs, in the order of the documents
 * @ctx: passed to @each
 *
 * Version and history are no differences.
 */
void zr_config_diff(const struct zr_config *from, const struct zr_config *to,
		    zr_config_difference_fn each, void *ctx);

/**
 * zr_config_author() - who made the version of a document
 *
 * Return: id of a key; "" for a document without history.
 */
const char *zr_config_author(const struct zr_config *config);

/** zr_config_free() - free a document, or do nothing for NULL */
void zr_config_free(struct zr_config *config);

const struct zr_config_team *zr_config_find_team(const struct zr_config *config,
						 const char *name);
const struct zr_config_queue *
zr_config_find_queue(const struct zr_config *config, const char *name);

/**
 * zr_config_home_domain() - the failure domain that keeps the record of a key
 * @config: the configuration in force
 * @key: an idempotency key
 *
 * It depends on the declared domains alone, so that every entry daemon sends a
 * repeated request to the same one.
 *
 * Return: its name, or NULL when no declared domain takes keys.
 */
const char *zr_config_home_domain(const struct zr_config *config,
				  const char *key);

/**
 * zr_config_moves_keys() - whether a change would give keys another home
 * @from: the configuration in force, or NULL
 * @to: the one to come
 */
bool zr_config_moves_keys(const struct zr_config *from,
			  const struct zr_config *to);

/** zr_config_is_drained() - whether a worker is to get no new work */
bool zr_config_is_drained(const struct zr_config *config, const char *worker);

/**
 * zr_config_job_spec() - the job that a declaration asks for in a domain
 * @out: the job; free @out->command with zr_job_spec_clear()
 * @job: the declaration
 * @domain: the failure domain
 * @instance: raised by one when a changed declaration replaces a job
 *
 * Its idempotency key is `declared/<name>/<domain>/<instance>`, so that
 * submitting it again finds the job that is there.
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_config_job_spec(struct zr_job_spec *out, const struct zr_config_job *job,
		       const char *domain, uint32_t instance);

/**
 * zr_config_authenticate() - find the key that a caller presented
 * @out: the key's entry, valid as long as @keys
 * @keys: keys in force
 * @count: how many
 * @credential: `<id>.<secret>`
 *
 * The work is the same for an unknown id as for a wrong secret, and secrets
 * are compared in constant time.
 *
 * Return: 0 or ZR_E_UNAUTHORIZED.
 */
int zr_config_authenticate(const struct zr_config_key **out,
			   const struct zr_config_key *keys, uint32_t count,
			   const char *credential);

/** Longest credential, with the final NUL. */
#define ZR_CREDENTIAL_MAX 160

/**
 * zr_config_key_new() - make a key
 * @credential: what the caller is to present
 * @salt: hexadecimal salt for the configuration, 33 bytes
 * @sha256: hexadecimal hash for the configuration, 65 bytes
 * @id: the public part of the key
 *
 * Return: 0, ZR_E_INVALID for an unusable id, or ZR_E_IO without randomness.
 */
int zr_config_key_new(char credential[ZR_CREDENTIAL_MAX], char salt[33],
		      char sha256[65], const char *id);

#endif

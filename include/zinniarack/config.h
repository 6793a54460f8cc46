#ifndef ZINNIARACK_CONFIG_H
#define ZINNIARACK_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/job.h"

/**
 * DOC: Configuration
 *
 * Operators declare failure domains, teams, queues, API keys, jobs that must
 * keep running, drained workers and the scheduling policy in a folder of YAML
 * files. The files are merged in the order of their names into one document,
 * &struct zr_config, which has one version number. A document is never
 * modified: each accepted change makes a new version.
 */

/**
 * enum zr_policy - how the scheduler orders the waiting tasks
 * @ZR_POLICY_WAITING_FIRST: urgent work first, then higher priority (raised
 *	close to a deadline), then the team that uses the least of its share,
 *	then the oldest
 * @ZR_POLICY_SHARES_FIRST: urgent work of teams that use less than their share
 *	first, then the team that uses the least of its share, then as
 *	ZR_POLICY_WAITING_FIRST
 */
enum zr_policy {
	ZR_POLICY_WAITING_FIRST,
	ZR_POLICY_SHARES_FIRST,
};

/**
 * struct zr_config_team - a team and what it may use
 * @name: name of the team
 * @share: weight of its share when demand exceeds capacity
 * @limit: upper limit on the resources that its running tasks hold across the
 *	fleet; 0 sets no limit on that resource
 */
struct zr_config_team {
	char *name;
	uint32_t share;
	struct zr_resources limit;
};

/**
 * struct zr_config_queue - a queue that jobs are submitted to
 * @name: name of the queue
 * @open: whether it accepts jobs without an API key
 * @team: the only team that may use the queue, or NULL for any; required for an
 *	open queue, whose jobs belong to this team
 * @worth: priority added to that of each job in the queue
 */
struct zr_config_queue {
	char *name;
	bool open;
	char *team;
	uint32_t worth;
};

/**
 * enum zr_key_role - what the holder of an API key may do
 * @ZR_KEY_TEAM: submit, read and cancel jobs of its team
 * @ZR_KEY_OPERATOR: change the configuration, read and cancel any job
 */
enum zr_key_role {
	ZR_KEY_TEAM,
	ZR_KEY_OPERATOR,
};

/**
 * struct zr_config_key - an API key, stored as a salted hash
 * @id: public part of the key
 * @role: what its holder may do
 * @team: team that the key belongs to; NULL for an operator's key
 * @salt: salt in hexadecimal
 * @sha256: SHA-256 of the salt's hexadecimal text followed by the secret, in
 *	hexadecimal
 */
struct zr_config_key {
	char *id;
	enum zr_key_role role;
	char *team;
	char *salt;
	char *sha256;
};

/**
 * struct zr_config_job - a job that the schedulers keep running while it is
 * declared
 * @name: name of the job
 * @team: team that it belongs to
 * @queue: queue that it is submitted to
 * @kind: how its tasks are placed
 * @tasks: number of tasks, or replicas of a service, in each failure domain
 * @cpus: processors of each task
 * @memory_mb: memory of each task, in MiB
 * @accelerators: accelerators of each task
 * @worth: priority; higher is placed first
 * @urgent: whether it may preempt work of lower priority
 * @run_ms: declared run time of a task, in ms; 0 when unknown
 * @command: command that the worker runs
 * @failure_domains: names of the failure domains that run one job each
 * @failure_domains_count: number of these names
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

/** Maximum number of changes in &struct zr_config.history. */
#define ZR_CONFIG_HISTORY_MAX 16

/**
 * struct zr_config_change - an accepted change
 * @proposal: random id of the proposal, by which a proposer that lost the
 *	response recognizes its own change
 * @version: version that the change made
 * @author: id of the API key that authorized it
 */
struct zr_config_change {
	char *proposal;
	uint64_t version;
	char *author;
};

/**
 * struct zr_config_name - an item of a list of names
 * @name: the name
 */
struct zr_config_name {
	char *name;
};

/**
 * struct zr_config_domain - a failure domain
 * @name: name of the failure domain
 * @no_keys: whether it is never chosen as the home of an idempotency key; see
 *	zr_config_home_domain()
 */
struct zr_config_domain {
	char *name;
	bool no_keys;
};

/**
 * enum zr_unconfirmed_policy - what to do with a request whose API key may have
 * been withdrawn in a newer version
 * @ZR_UNCONFIRMED_REFUSE: refuse it with ZR_E_STALE_CONFIG, without running it
 * @ZR_UNCONFIRMED_ACCEPT: check the key against the last known configuration
 */
enum zr_unconfirmed_policy {
	ZR_UNCONFIRMED_REFUSE,
	ZR_UNCONFIRMED_ACCEPT,
};

/**
 * Maximum length in bytes of a declared job's name and a failure domain's name
 * together, so that zr_config_job_spec() doesn't truncate the idempotency key
 * made from them.
 */
#define ZR_DECLARED_NAMES_MAX 106

/** Default of &struct zr_config.key_check.confirm_within_ms. */
#define ZR_CONFIRM_WITHIN_DEFAULT_MS 5000

/**
 * struct zr_config - one version of the configuration
 * @version: version number, which each accepted change raises by one
 * @history: the latest changes, oldest first
 * @history_count: number of these changes
 * @policy: how the scheduler orders the waiting tasks
 * @key_check: what to do with API keys while this version isn't confirmed as
 *	the newest
 * @key_check.when_unconfirmed: whether to accept them
 * @key_check.confirm_within_ms: age of the last confirmation, in ms, above
 *	which the version is unconfirmed
 * @failure_domains: the failure domains
 * @failure_domains_count: number of failure domains
 * @teams: the teams
 * @teams_count: number of teams
 * @queues: the queues
 * @queues_count: number of queues
 * @keys: the valid API keys
 * @keys_count: number of API keys
 * @jobs: jobs that must keep running
 * @jobs_count: number of these jobs
 * @drained: names of workers that get no new work
 * @drained_count: number of these workers
 * @evacuated: names of failure domains that get no new work
 * @evacuated_count: number of these failure domains
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
	struct zr_config_name *evacuated;
	uint32_t evacuated_count;
};

/**
 * zr_config_load_folder() - merge the files of a folder and check the result
 * @out: the merged document, with version 0; free with zr_config_free()
 * @path: the folder; its files named *.yaml are read in byte order of their
 *	names
 *
 * An item declared in two files is a conflict unless the later declaration has
 * `replace: true`. An item with only its name and `remove: true` removes the
 * item declared in an earlier file. For fields of the document that aren't
 * lists, such as `policy`, the document's field `replace` lists the names of
 * those that this file replaces.
 *
 * Return: 0, ZR_E_NOT_FOUND, ZR_E_TOO_LARGE, ZR_E_NOMEM, ZR_E_INVALID or
 * ZR_E_CONFLICT; zr_error_last() has the file, line, field and what is allowed
 * there.
 */
int zr_config_load_folder(struct zr_config **out, const char *path);

/**
 * struct zr_config_review - receives what a review of a folder finds
 * @found: called for each entry that is allowed but has no effect or can never
 *	do what it says; @line is counted from 1
 * @knows_worker: whether a worker of that name exists; NULL: it is not known
 * @ctx: passed to both
 */
struct zr_config_review {
	void (*found)(void *ctx, const char *path, size_t line,
		      const char *detail);
	bool (*knows_worker)(void *ctx, const char *worker);
	void *ctx;
};

/**
 * zr_config_review_folder() - load a folder and review its entries
 * @out: as for zr_config_load_folder()
 * @path: the folder
 * @review: receives the findings, of a folder without errors
 *
 * Return: as zr_config_load_folder(); findings are no errors.
 */
int zr_config_review_folder(struct zr_config **out, const char *path,
			    const struct zr_config_review *review);

/**
 * zr_config_amend() - merge the declarations of one more file into a document
 * @out: the new document, with version 0; free with zr_config_free()
 * @base: the document, which is unchanged
 * @source: name of the file in error texts
 * @text: YAML, with `replace` and `remove` as in zr_config_load_folder()
 * @length: length of @text in bytes
 *
 * Return: as zr_config_load_folder().
 */
int zr_config_amend(struct zr_config **out, const struct zr_config *base,
		    const char *source, const void *text, size_t length);

/**
 * zr_config_parse() - parse and check a merged document
 * @out: the document; free with zr_config_free()
 * @source: name of the document in error texts
 * @text: YAML
 * @length: length of @text in bytes
 *
 * Return: 0, ZR_E_INVALID or ZR_E_CONFLICT.
 */
int zr_config_parse(struct zr_config **out, const char *source,
		    const void *text, size_t length);

/**
 * zr_config_print() - format a document as YAML
 * @out: the text, not NUL-terminated; free with free()
 * @out_length: length of @out in bytes
 * @config: the document
 *
 * Return: 0 or ZR_E_INVALID.
 */
int zr_config_print(char **out, size_t *out_length,
		    const struct zr_config *config);

/**
 * enum zr_config_difference - how an item differs between two documents
 * @ZR_CONFIG_ADDED: only the later document has it
 * @ZR_CONFIG_REMOVED: only the earlier document has it
 * @ZR_CONFIG_CHANGED: both have it with different fields
 */
enum zr_config_difference {
	ZR_CONFIG_ADDED,
	ZR_CONFIG_REMOVED,
	ZR_CONFIG_CHANGED,
};

/** zr_config_difference_name() - return "added", "removed" or "changed" */
const char *zr_config_difference_name(enum zr_config_difference difference);

/**
 * typedef zr_config_difference_fn - called for each difference
 * @ctx: context passed to zr_config_diff()
 * @section: name of the list, such as "teams", or of a field of the document
 * @name: name or id of the item; NULL for a field of the document
 * @difference: how it differs
 */
typedef void (*zr_config_difference_fn)(void *ctx, const char *section,
					const char *name,
					enum zr_config_difference difference);

/**
 * zr_config_diff() - compare two documents
 * @from: the earlier document, or NULL for an empty one
 * @to: the later document
 * @callback: called for each item that differs: by list, the removed items in
 *	the order of @from, then the others in the order of @to
 * @ctx: passed to @callback
 *
 * Ignores version and history, which only the system sets.
 */
void zr_config_diff(const struct zr_config *from, const struct zr_config *to,
		    zr_config_difference_fn callback, void *ctx);

/**
 * zr_config_author() - return who made a document's version
 * @config: the document, or NULL
 *
 * Return: id of the API key that authorized the latest change; "" without a
 * document or history.
 */
const char *zr_config_author(const struct zr_config *config);

/** zr_config_free() - free a document, or do nothing for NULL */
void zr_config_free(struct zr_config *config);

/** zr_config_find_team() - return the team of that name, or NULL */
const struct zr_config_team *zr_config_find_team(const struct zr_config *config,
						 const char *name);

/** zr_config_find_queue() - return the queue of that name, or NULL */
const struct zr_config_queue *
zr_config_find_queue(const struct zr_config *config, const char *name);

/**
 * zr_config_home_domain() - return the home of an idempotency key
 * @config: the applied configuration
 * @key: the idempotency key
 *
 * The home of a key is the failure domain that stores the request made with it.
 * It is a function of the key and of the declared failure domains only, so that
 * every entry daemon sends a repeated request to the same one.
 *
 * Return: name of the failure domain, or NULL when every one has `no_keys`.
 */
const char *zr_config_home_domain(const struct zr_config *config,
				  const char *key);

/**
 * zr_config_moves_keys() - whether a change gives idempotency keys another home
 * @from: the applied configuration, or NULL
 * @to: the proposed one
 *
 * A request that is repeated after such a change could run twice.
 */
bool zr_config_moves_keys(const struct zr_config *from,
			  const struct zr_config *to);

/** zr_config_is_drained() - whether a worker gets no new work */
bool zr_config_is_drained(const struct zr_config *config, const char *worker);

/** zr_config_is_evacuated() - whether a failure domain gets no new work */
bool zr_config_is_evacuated(const struct zr_config *config, const char *domain);

/**
 * zr_config_check_evacuate() - whether a failure domain can be evacuated
 * @config: the configuration that the evacuation would be added to
 * @domain: name of the failure domain
 *
 * Return: 0; ZR_E_NOT_FOUND if it is not declared, ZR_E_EXISTS if it is
 * evacuated already, ZR_E_STATE if no other one would be left.
 */
int zr_config_check_evacuate(const struct zr_config *config,
			     const char *domain);

/**
 * zr_config_check_restore() - whether a failure domain can be restored
 * @config: the configuration with the evacuation
 * @domain: name of the failure domain
 *
 * Return: 0; ZR_E_NOT_FOUND if it is not declared, ZR_E_STATE if it is not
 * evacuated.
 */
int zr_config_check_restore(const struct zr_config *config, const char *domain);

/**
 * zr_config_job_spec() - build the job to submit for a declared job
 * @out: the job; free with zr_job_spec_clear()
 * @job: the declaration
 * @domain: failure domain to submit the job in
 * @instance: number of this job among those made from the declaration; raised
 *	by one when a changed declaration replaces a job
 *
 * The idempotency key is `declared/<name>/<domain>/<instance>`: submitting the
 * job again finds the existing one.
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_config_job_spec(struct zr_job_spec *out, const struct zr_config_job *job,
		       const char *domain, uint32_t instance);

/**
 * zr_config_authenticate() - find the API key that a caller presented
 * @out: the key, which points into @keys
 * @keys: the valid API keys
 * @count: number of keys
 * @credential: `<id>.<secret>`, or NULL
 *
 * Hashes the secret for an unknown id too and compares hashes in constant time,
 * so that the time taken doesn't reveal which ids exist.
 *
 * Return: 0, ZR_E_UNAUTHORIZED, ZR_E_NOMEM or ZR_E_IO.
 */
int zr_config_authenticate(const struct zr_config_key **out,
			   const struct zr_config_key *keys, uint32_t count,
			   const char *credential);

/** Maximum size of a credential in bytes, with the terminating NUL. */
#define ZR_CREDENTIAL_MAX 160

/**
 * zr_config_key_new() - generate an API key
 * @credential: `<id>.<secret>`, which the holder presents
 * @salt: value of &struct zr_config_key.salt, NUL-terminated
 * @sha256: value of &struct zr_config_key.sha256, NUL-terminated
 * @id: public part of the key
 *
 * Return: 0, ZR_E_INVALID for an invalid id, ZR_E_NOMEM, or ZR_E_IO when the
 * random number generator or the hash function fails.
 */
int zr_config_key_new(char credential[ZR_CREDENTIAL_MAX], char salt[33],
		      char sha256[65], const char *id);

#endif

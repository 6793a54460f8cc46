#ifndef ZINNIARACK_CONFIG_H
#define ZINNIARACK_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/job.h"

/**
 * DOC: Configuration
 *
 * What operators declare: teams, queues, keys and the policy. They keep it as
 * a folder of YAML files, which are merged in the order of their names into
 * one document with one version. A document is never changed in place.
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
 * struct zr_config_key - a granted key, kept as a salted hash
 * @id: the public part of the key
 * @team: whose key it is
 * @salt: hexadecimal salt
 * @sha256: hexadecimal SHA-256 of salt and secret
 */
struct zr_config_key {
	char *id;
	char *team;
	char *salt;
	char *sha256;
};

/**
 * struct zr_config - one version of the configuration
 * @version: raised by one with each accepted change
 * @policy: the order of worth
 * @teams: teams
 * @queues: queues
 * @keys: keys in force
 */
struct zr_config {
	uint64_t version;
	enum zr_policy policy;
	struct zr_config_team *teams;
	uint32_t teams_count;
	struct zr_config_queue *queues;
	uint32_t queues_count;
	struct zr_config_key *keys;
	uint32_t keys_count;
};

/**
 * zr_config_load_folder() - merge and check a folder
 * @out: the merged document with version 0
 * @path: the folder; its files named *.yaml are read in the order of names
 *
 * Return: 0, ZR_E_NOT_FOUND, ZR_E_INVALID or ZR_E_CONFLICT.
 */
int zr_config_load_folder(struct zr_config **out, const char *path);

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

/** zr_config_free() - free a document, or do nothing for NULL */
void zr_config_free(struct zr_config *config);

const struct zr_config_team *zr_config_team(const struct zr_config *config,
					    const char *name);
const struct zr_config_queue *zr_config_queue(const struct zr_config *config,
					      const char *name);

/**
 * zr_config_authenticate() - find the key that a caller presented
 * @out: the key's entry, valid as long as @config
 * @config: the configuration in force
 * @credential: `<id>.<secret>`
 *
 * The secret is compared in constant time.
 *
 * Return: 0 or ZR_E_UNAUTHORIZED.
 */
int zr_config_authenticate(const struct zr_config_key **out,
			   const struct zr_config *config,
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

#ifndef ZR_ENTRY_DIRECTORY_H
#define ZR_ENTRY_DIRECTORY_H

#include <uv.h>

#include "net/rpc_client.h"
#include "zinniarack/clock.h"
#include "zinniarack/host_list.h"

/**
 * DOC: Directory of schedulers
 *
 * Asks the schedulers that the host list names how they stand, and knows from
 * their own word which one is active in each failure domain. It needs no store.
 */

struct zr_directory;

/**
 * zr_directory_new() - start to follow the schedulers
 * @out: to be freed with zr_directory_free()
 * @loop: the loop it runs on
 * @clock: the clock
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_directory_new(struct zr_directory **out, uv_loop_t *loop,
		     const struct zr_clock *clock);

/** zr_directory_set_hosts() - take a new reading of the host list */
void zr_directory_set_hosts(struct zr_directory *directory,
			    const struct zr_host *hosts, size_t count);

/**
 * zr_directory_get_active() - the active scheduler of a failure domain
 * @directory: the directory
 * @domain: the failure domain
 *
 * Return: its client, or NULL when none is known to be active.
 */
struct zr_rpc_client *
zr_directory_get_active(const struct zr_directory *directory,
			const char *domain);

/**
 * zr_directory_get_domain() - the failure domains that have schedulers, by name
 * @directory: the directory
 * @index: from 0
 *
 * Return: the name, or NULL past the last.
 */
const char *zr_directory_get_domain(const struct zr_directory *directory,
				    size_t index);

/**
 * struct zr_directory_scheduler - a scheduler as it stands
 * @name: its host's name
 * @domain: its failure domain
 * @address: its address
 * @heard: whether it has answered lately
 * @active: whether it owns its domain
 * @epoch: under which epoch
 * @config_version: version of the configuration in force there
 */
struct zr_directory_scheduler {
	const char *name;
	const char *domain;
	const char *address;
	bool heard;
	bool active;
	uint64_t epoch;
	uint64_t config_version;
};

/** zr_directory_each() - call @each for every scheduler known */
void zr_directory_each(const struct zr_directory *directory,
		       void (*each)(void *ctx,
				    const struct zr_directory_scheduler *row),
		       void *ctx);

void zr_directory_free(struct zr_directory *directory);

#endif

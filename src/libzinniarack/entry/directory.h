#ifndef ZR_ENTRY_DIRECTORY_H
#define ZR_ENTRY_DIRECTORY_H

#include <uv.h>

#include "net/rpc_client.h"
#include "zinniarack/clock.h"
#include "zinniarack/host_list.h"

/**
 * DOC: Directory of schedulers
 *
 * Polls the status of every scheduler in the host list. From their responses it
 * knows which scheduler is active in each failure domain, without reading the
 * store. The active scheduler is the one that owns the failure domain.
 */

struct zr_directory;

/**
 * zr_directory_new() - create a directory and start to poll
 * @out: the directory, to be freed with zr_directory_free()
 * @loop: event loop
 * @clock: clock for the age of responses
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_directory_new(struct zr_directory **out, uv_loop_t *loop,
		     const struct zr_clock *clock);

/** zr_directory_set_hosts() - replace the host list */
void zr_directory_set_hosts(struct zr_directory *directory,
			    const struct zr_host *hosts, size_t count);

/**
 * zr_directory_get_active() - get the active scheduler of a failure domain
 * @directory: the directory
 * @domain: the failure domain
 *
 * Return: its client, or NULL if none is known to be active.
 */
struct zr_rpc_client *
zr_directory_get_active(const struct zr_directory *directory,
			const char *domain);

/**
 * zr_directory_get_domain() - get a failure domain that has schedulers
 * @directory: the directory
 * @index: index from 0; names are sorted
 *
 * Return: name of the failure domain, or NULL if the index is too large.
 */
const char *zr_directory_get_domain(const struct zr_directory *directory,
				    size_t index);

/**
 * struct zr_directory_scheduler - the status of a scheduler
 * @name: name of its host
 * @domain: its failure domain
 * @address: its RPC address
 * @responded: whether it has responded recently
 * @active: whether it owned its failure domain at the last response
 * @epoch: fencing token of that ownership
 * @config_version: version of the configuration that it has applied
 */
struct zr_directory_scheduler {
	const char *name;
	const char *domain;
	const char *address;
	bool responded;
	bool active;
	uint64_t epoch;
	uint64_t config_version;
};

/** zr_directory_each() - call @each for every known scheduler */
void zr_directory_each(
	const struct zr_directory *directory,
	void (*each)(void *ctx, const struct zr_directory_scheduler *scheduler),
	void *ctx);

void zr_directory_free(struct zr_directory *directory);

#endif

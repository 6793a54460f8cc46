#ifndef ZINNIARACK_HOST_LIST_H
#define ZINNIARACK_HOST_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/job.h"

/**
 * DOC: Host list
 *
 * The platform's list of live and leaving hosts: workers, and the hosts that
 * run this system's entry daemon. The list lags behind the real state of the
 * hosts. Adapters implement &struct zr_host_list_ops.
 */

/**
 * enum zr_host_kind - role of a host
 * @ZR_HOST_WORKER: runs tasks
 * @ZR_HOST_ENTRY: runs an entry daemon and a scheduler
 */
enum zr_host_kind {
	ZR_HOST_WORKER,
	ZR_HOST_ENTRY,
};

/**
 * struct zr_host - an entry of the host list
 * @kind: role of the host
 * @name: unique name
 * @domain: its failure domain
 * @rack: its rack
 * @address: a worker's address; on an entry host, its address for peers
 * @scheduler_address: on an entry host, the address of its scheduler
 * @leaving: whether the host is about to leave, so must get no new work
 * @capacity: a worker's total resources
 * @slots: number of short requests that a worker serves concurrently
 */
struct zr_host {
	enum zr_host_kind kind;
	char name[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	char rack[ZR_NAME_MAX];
	char address[ZR_NAME_MAX];
	char scheduler_address[ZR_NAME_MAX];
	bool leaving;
	struct zr_resources capacity;
	uint32_t slots;
};

/** zr_hosts_copy() - copy a host list; to be freed with free() */
struct zr_host *zr_hosts_copy(const struct zr_host *hosts, size_t count);

/** Called once for each read; @hosts is NULL on an error. */
typedef void (*zr_host_list_done_fn)(void *ctx, int error,
				     const struct zr_host *hosts, size_t count);

/**
 * struct zr_host_list_ops - operations that an adapter implements
 * @read: read the whole list
 * @free: end open calls with ZR_E_CANCELLED and free the adapter
 */
struct zr_host_list_ops {
	void (*read)(void *impl, zr_host_list_done_fn done, void *ctx);
	void (*free)(void *impl);
};

/**
 * struct zr_host_list - a host list
 * @ops: operations of the list's adapter
 * @impl: the adapter's state, passed to each operation
 */
struct zr_host_list {
	const struct zr_host_list_ops *ops;
	void *impl;
};

#endif

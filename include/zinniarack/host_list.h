#ifndef ZINNIARACK_HOST_LIST_H
#define ZINNIARACK_HOST_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/job.h"

/**
 * DOC: Host list
 *
 * The platform's lagging list of live and leaving hosts: workers, and the
 * entry hosts of this system. Adapters fill &struct zr_host_list_ops.
 */

enum zr_host_kind {
	ZR_HOST_WORKER,
	ZR_HOST_ENTRY,
};

/**
 * struct zr_host - a row of the host list
 * @kind: worker or entry host
 * @name: unique name
 * @domain: its failure domain
 * @rack: its rack
 * @address: a worker's address; an entry host's address for peers
 * @scheduler_address: an entry host's scheduler address
 * @leaving: it is to get no new work
 * @capacity: what a worker holds
 * @slots: short requests a worker serves at once
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

/** Called once for each read; on an error @hosts is NULL. */
typedef void (*zr_host_list_done_fn)(void *ctx, int error,
				     const struct zr_host *hosts, size_t count);

/**
 * struct zr_host_list_ops - what an adapter implements
 * @read: read the whole list
 * @free: end open calls with ZR_E_CANCELLED and free the adapter
 */
struct zr_host_list_ops {
	void (*read)(void *impl, zr_host_list_done_fn done, void *ctx);
	void (*free)(void *impl);
};

/**
 * struct zr_host_list - a host list and its adapter
 * @ops: the adapter
 * @impl: passed to each operation
 */
struct zr_host_list {
	const struct zr_host_list_ops *ops;
	void *impl;
};

#endif

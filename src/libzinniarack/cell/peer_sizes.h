#ifndef ZR_CELL_PEER_SIZES_H
#define ZR_CELL_PEER_SIZES_H

#include <stddef.h>
#include <stdint.h>

#include "zinniarack/job.h"

/**
 * DOC: Sizes of the other hosts
 *
 * The hosts of a cell rank each other by size when the cell becomes free. Their
 * registrations expire while the store is away, all at the same time, so a host
 * remembers how large the others are for some time after their registrations
 * have ended.
 */

/**
 * struct zr_cell_peer_sizes - what a host knows of the others; zeroed at first
 * @entries: a host each
 * @count: number of @entries
 * @alloc: allocated @entries
 * @read_at: when the registrations were last read, in milliseconds; 0: never
 */
struct zr_cell_peer_sizes {
	struct zr_cell_peer_size *entries;
	size_t count;
	size_t alloc;
	int64_t read_at;
};

/** zr_cell_peer_sizes_begin() - begin to report a read of all registrations */
void zr_cell_peer_sizes_begin(struct zr_cell_peer_sizes *sizes);

/**
 * zr_cell_peer_sizes_add() - report a registered host
 * @sizes: the sizes
 * @name: the host
 * @millicpus: its processors, in thousandths
 */
void zr_cell_peer_sizes_add(struct zr_cell_peer_sizes *sizes, const char *name,
			    uint32_t millicpus);

/**
 * zr_cell_peer_sizes_end() - end the report
 * @sizes: the sizes
 * @now: monotonic time in milliseconds
 *
 * Forgets the hosts that have been absent for long. Only time in which the
 * registrations could be read counts.
 */
void zr_cell_peer_sizes_end(struct zr_cell_peer_sizes *sizes, int64_t now);

/**
 * zr_cell_peer_sizes_largest() - processors of the largest other host that is
 * remembered, in thousandths; 0: none is
 */
uint32_t zr_cell_peer_sizes_largest(const struct zr_cell_peer_sizes *sizes);

/** zr_cell_peer_sizes_clear() - free the memory */
void zr_cell_peer_sizes_clear(struct zr_cell_peer_sizes *sizes);

#endif

#ifndef ZR_CELL_POLICY_EVACUATION_H
#define ZR_CELL_POLICY_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Evacuation of a failure domain
 *
 * Decides what happens to the runs in a domain that operators want to have
 * empty, and in which order its workers return once they do not. The functions
 * make no calls and read no clock.
 */

/**
 * zr_evacuation_return_ms() - when a worker returns after an evacuation
 * @worker: name of the worker
 * @window_ms: time within which all workers return
 *
 * The order is pseudo-random, so that the capacity returns in all racks and
 * pools alike, and fixed, so that each evaluation gives the same.
 *
 * Return: time after the withdrawal of the request, below @window_ms.
 */
int64_t zr_evacuation_return_ms(const char *worker, int64_t window_ms);

#endif

#ifndef FAKE_ONCE_H
#define FAKE_ONCE_H

#include <stdbool.h>

#include "route/once.h"

/**
 * DOC: Homes of idempotency keys, kept in memory
 */

struct fake_once;

struct fake_once *fake_once_new(struct zr_once_backend *out);
void fake_once_free(struct fake_once *homes);

/**
 * fake_once_set_failure() - how the homes fail from now on
 * @homes: the homes
 * @down: nothing reaches them
 * @lossy: what reaches them takes effect, and all answers are lost
 */
void fake_once_set_failure(struct fake_once *homes, bool down, bool lossy);

#endif

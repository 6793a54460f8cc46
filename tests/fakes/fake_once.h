#ifndef FAKE_ONCE_H
#define FAKE_ONCE_H

#include <stdbool.h>

#include "route/once.h"

/**
 * DOC: In-memory backend of idempotency keys
 */

struct fake_once;

struct fake_once *fake_once_new(struct zr_once_backend *out);
void fake_once_free(struct fake_once *once);

/**
 * fake_once_set_failure() - set how later calls fail
 * @once: the backend
 * @down: calls fail and have no effect
 * @lossy: calls take effect, but their results are lost
 */
void fake_once_set_failure(struct fake_once *once, bool down, bool lossy);

#endif

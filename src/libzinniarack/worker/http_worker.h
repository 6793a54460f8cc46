#ifndef ZR_WORKER_HTTP_WORKER_H
#define ZR_WORKER_HTTP_WORKER_H

#include <uv.h>

#include "zinniarack/worker.h"

/**
 * DOC: Workers over HTTP
 *
 * `POST /v1/sync`, `POST /v1/start` and `POST /v1/stop` with JSON bodies that
 * hold the members of the structs in <zinniarack/worker.h>. Some fields have
 * other names than the members: "boot" is the incarnation, "token" the lease
 * token, "fences" whether fencing is supported, "acknowledged" and "seen" the
 * last end that was acknowledged and received.
 *
 * Status 404: the worker does not know the task. 409: it has seen a higher
 * epoch. 412: the lease that a start asks for has expired. 507: the task does
 * not fit the free resources.
 */

/**
 * zr_http_worker_new() - create a client of a worker
 * @out: the worker, to be freed with its operation
 * @loop: the &uv_loop_t of its calls
 * @address: IP address and port of the worker
 *
 * Return: 0, ZR_E_INVALID or ZR_E_NOMEM.
 */
int zr_http_worker_new(struct zr_worker *out, void *loop, const char *address);

#endif

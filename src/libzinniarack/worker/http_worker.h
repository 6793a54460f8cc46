#ifndef ZR_WORKER_HTTP_WORKER_H
#define ZR_WORKER_HTTP_WORKER_H

#include <uv.h>

#include "zinniarack/worker.h"

/**
 * DOC: Workers over HTTP
 *
 * `POST /v1/sync`, `POST /v1/start` and `POST /v1/stop` with JSON bodies whose
 * fields are those of the structs in <zinniarack/worker.h>. A worker that has
 * seen a higher epoch answers 409; one without room answers 507.
 */

/**
 * zr_http_worker_new() - call a worker over HTTP
 * @out: the worker; free it with its operation
 * @loop: the &uv_loop_t it runs on
 * @address: IP number and port
 *
 * Return: 0, ZR_E_INVALID or ZR_E_NOMEM.
 */
int zr_http_worker_new(struct zr_worker *out, void *loop, const char *address);

#endif

#ifndef ZR_WORKER_HTTP_HOST_LIST_H
#define ZR_WORKER_HTTP_HOST_LIST_H

#include <uv.h>

#include "zinniarack/host_list.h"

/**
 * DOC: Host list over HTTP
 *
 * `GET /v1/hosts` answers `{"hosts": [...]}`, one object a host.
 */

/**
 * zr_http_host_list_new() - read the host list from an HTTP server
 * @out: the host list; free it with its operation
 * @loop: the loop it runs on
 * @address: IP number and port
 *
 * Return: 0, ZR_E_INVALID or ZR_E_NOMEM.
 */
int zr_http_host_list_new(struct zr_host_list *out, uv_loop_t *loop,
			  const char *address);

#endif

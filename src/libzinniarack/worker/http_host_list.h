#ifndef ZR_WORKER_HTTP_HOST_LIST_H
#define ZR_WORKER_HTTP_HOST_LIST_H

#include <uv.h>

#include "zinniarack/host_list.h"

/**
 * DOC: Host list over HTTP
 *
 * `GET /v1/hosts` returns `{"hosts": [...]}` with an object for each host. An
 * object holds the members of &struct zr_host, and those of its capacity, as
 * fields of the same names; "scheduler" is the scheduler's address.
 */

/**
 * zr_http_host_list_new() - create a client of a host list server
 * @out: the host list, to be freed with its operation
 * @loop: event loop of its calls
 * @address: IP address and port of the server
 *
 * Return: 0, ZR_E_INVALID or ZR_E_NOMEM.
 */
int zr_http_host_list_new(struct zr_host_list *out, uv_loop_t *loop,
			  const char *address);

#endif

#ifndef TESTS_SOAK_H
#define TESTS_SOAK_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http_server.h"

/**
 * DOC: Stand-in for the users' platform
 *
 * One process with the platform's store, its placement adviser and a number of
 * workers, for soaks of real hosts. It checks what workers see: a task that
 * runs twice at once or starts again after its end was confirmed, a worker that
 * is overfull, a start that nobody accepted. `GET /fault?...` on the control
 * address makes it misbehave.
 */

/** soak_now_ms() - milliseconds of the steady clock */
int64_t soak_now_ms(void);
/** soak_violation() - a promise was broken: printed, and counted */
void soak_violation(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
void soak_reply(struct zr_http_exchange *exchange, int status, json_t *body);

/* store.c */
void soak_store_serve(void *ctx, struct zr_http_exchange *exchange);
void soak_store_tick(void);
/** soak_store_put() - a write of the operator or of a worker */
void soak_store_put(const char *key, json_t *value);
void soak_store_remove(const char *key);
/** soak_store_knows() - whether a job was ever accepted */
bool soak_store_knows(const char *job);
/** soak_store_down() - answer 503, or nothing at all, for so long */
void soak_store_down(int64_t ms, bool silent);
/** soak_store_slow() - answer @delay_ms late for so long */
void soak_store_slow(int64_t ms, int64_t delay_ms);
/** soak_store_lose() - do the next @count writes and do not answer them */
void soak_store_lose(unsigned int count);
/** soak_store_forget() - drop the history and cut watches */
void soak_store_forget(void);

/* workers.c */
/**
 * soak_workers_start() - serve workers and register them
 * @loop: the loop
 * @address: IP number
 * @port: port of the first one; the others follow
 * @reach: first port under which hosts reach them
 * @count: how many
 */
int soak_workers_start(uv_loop_t *loop, const char *address, int port,
		       int reach, int count);
void soak_workers_tick(void);
/** soak_workers_restart() - a worker crashes and starts again under its id */
void soak_workers_restart(int worker);
/** soak_workers_late() - orders are not answered, and done seconds later */
void soak_workers_late(int64_t ms, int percent);
void soak_adviser_serve(void *ctx, struct zr_http_exchange *exchange);

#endif

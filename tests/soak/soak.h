#ifndef TESTS_SOAK_H
#define TESTS_SOAK_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http_server.h"

/* Failed runs of a task, or of a gang, after which its job may fail. */
#define SOAK_ATTEMPTS 4

/**
 * DOC: Stand-in for the users' platform in soak tests
 *
 * One process implements the platform's store, its placement adviser and a
 * number of workers; the hosts under test are real processes. The workers check
 * these invariants and report each breach as a violation:
 *
 * - a task doesn't run on two workers at once, nor start again after its end
 *   was acknowledged (TWICE);
 * - a start doesn't bring a worker over its capacity, which may change while it
 *   runs (LIMIT);
 * - only tasks of jobs that are in the store are started (UNASKED);
 * - a task that crashes its workers isn't started three times more after three
 *   of them have crashed (BUDGET);
 * - a task or a gang isn't started after SOAK_ATTEMPTS of its runs have failed
 *   and hosts have acknowledged these ends (ATTEMPTS);
 * - a start carries no checkpoint that no run of its task has saved (UNASKED),
 *   and no ticket but that of the adviser for the worker, whole (TICKET);
 * - a host doesn't send a start to an evacuated zone later than 5 s after the
 *   request (EVAC).
 *
 * `GET /fault?...` on the control address injects faults, see platform.c.
 *
 * Points in time are milliseconds of the monotonic clock unless stated
 * otherwise.
 */

/** soak_now_ms() - current time of the monotonic clock, in milliseconds */
int64_t soak_now_ms(void);
/** soak_violation() - print a line "VIOLATION ..." and count it */
void soak_violation(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
/** soak_reply() - send @body as JSON and release it */
void soak_reply(struct zr_http_exchange *exchange, int status, json_t *body);

/* store.c */
/** soak_store_serve() - handle a request to the store */
void soak_store_serve(void *ctx, struct zr_http_exchange *exchange);
/** soak_store_tick() - expire leases, send delayed answers, serve watches */
void soak_store_tick(void);
/** soak_store_put() - write a key as an operator or a worker; frees @value */
void soak_store_put(const char *key, json_t *value);
/** soak_store_remove() - remove a key as an operator or a worker */
void soak_store_remove(const char *key);
/** soak_store_has_accepted() - whether a job was ever written to the store */
bool soak_store_has_accepted(const char *job);
/** soak_store_down() - for @ms, answer 503 or, if @silent, nothing at all */
void soak_store_down(int64_t ms, bool silent);
/** soak_store_slow() - for @ms, delay each answer by @delay_ms */
void soak_store_slow(int64_t ms, int64_t delay_ms);
/** soak_store_drop_replies() - apply @count writes without answering them */
void soak_store_drop_replies(unsigned int count);
/** soak_store_compact() - drop the event history; open watches get a 410 */
void soak_store_compact(void);

/* workers.c */
/**
 * soak_workers_start() - start the workers and register them in the store
 * @loop: event loop that serves them
 * @address: IP address that they listen on and register
 * @port: port that the first worker listens on; the others use the next ports
 * @advertised_port: port that the first worker registers, which may be that of
 *	a relay; the others register the next ports
 * @count: number of workers
 *
 * Return: 0, or a negative error.
 */
int soak_workers_start(uv_loop_t *loop, const char *address, int port,
		       int advertised_port, int count);
/** soak_workers_tick() - process everything that is due on the workers */
void soak_workers_tick(void);
/** soak_workers_set_capacity() - change the processors of a running worker */
void soak_workers_set_capacity(int index, uint32_t millicpus);
/**
 * soak_workers_evacuate() - request the evacuation of a zone, or withdraw it
 * @index: a worker of the zone
 * @evacuated: whether it is requested
 */
void soak_workers_evacuate(int index, bool evacuated);
/** soak_workers_restart() - crash a worker and restart it under its name */
void soak_workers_restart(int index);
/**
 * soak_workers_put_odd_entry() - change the registration of a worker as another
 * writer might, until the worker writes it anew
 * @number: selects the worker and the change
 */
void soak_workers_put_odd_entry(int number);
/**
 * soak_workers_delay_requests() - process starts and stops late for a while
 * @ms: how long
 * @percent: share of the requests that are not answered and take effect only
 *	seconds later
 */
void soak_workers_delay_requests(int64_t ms, int percent);
/** soak_adviser_serve() - answer a query to the placement adviser */
void soak_adviser_serve(void *ctx, struct zr_http_exchange *exchange);

#endif

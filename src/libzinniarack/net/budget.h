#ifndef ZR_NET_BUDGET_H
#define ZR_NET_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/clock.h"
#include "zinniarack/metrics.h"
#include "zinniarack/table.h"

/**
 * DOC: Budget of the connections that a process accepts
 *
 * All servers of a process share one budget for what their connections hold:
 * the bytes of requests that have been received in part or in full, those of
 * replies that have not been read yet, and descriptors. Each connection has an
 * account.
 *
 * When the budget is exceeded, memory is reclaimed from connections that can be
 * closed without breaking a promise: those whose request is not complete and so
 * has not run, the ones first that have not made progress for longest. Callers'
 * connections come before those of the system's own processes as long as these
 * hold less than half of the budget, and connections that hold little come
 * last.
 */

struct zr_net_budget;

/** Smallest budget in bytes. */
#define ZR_NET_BUDGET_MIN ((size_t)4 << 20)

/** enum zr_net_class - whose connections are closed first */
enum zr_net_class {
	ZR_NET_CALLER, /* of clients that need not behave */
	ZR_NET_PEER,   /* of the system's own processes */
};

/** enum zr_net_state - what a connection's memory is held for */
enum zr_net_state {
	ZR_NET_RECEIVING, /* a request that is not complete */
	ZR_NET_HANDLING,  /* a request that may run; never reclaimed */
	ZR_NET_REPLYING,  /* a reply that the other side has not read */
};

/**
 * typedef zr_net_reclaim_fn - close a connection, to free its memory
 * @ctx: the pointer given to zr_net_account_open()
 *
 * It may close the connection later; the account stays open until then.
 */
typedef void (*zr_net_reclaim_fn)(void *ctx);

/**
 * zr_net_budget_new() - create a budget
 * @out: receives the budget, to be freed with zr_net_budget_free()
 * @bytes: the budget in bytes; 0: zr_net_budget_default()
 * @clock: clock, for the log
 * @metrics: registry for its metrics
 *
 * Return: 0, or ZR_E_NOMEM.
 */
int zr_net_budget_new(struct zr_net_budget **out, size_t bytes,
		      const struct zr_clock *clock, struct zr_metrics *metrics);

/**
 * zr_net_budget_free() - free a budget
 * @budget: the budget, or NULL; all its accounts must be closed
 */
void zr_net_budget_free(struct zr_net_budget *budget);

/**
 * zr_net_budget_default() - budget in bytes of a process without a setting
 *
 * Return: a quarter of the memory that the process may use, by the size of the
 * machine, the limit of its control group and its own resource limits; at most
 * 32 MiB and at least ZR_NET_BUDGET_MIN.
 */
size_t zr_net_budget_default(void);

/**
 * zr_net_account_open() - open the account of a connection
 * @budget: the budget, or NULL: the account is not kept
 * @class: whose connection it is
 * @reclaim: called at most once, to close the connection
 * @ctx: passed to @reclaim
 *
 * Return: the account; ZR_HANDLE_NONE if @budget is NULL.
 */
zr_handle zr_net_account_open(struct zr_net_budget *budget,
			      enum zr_net_class class,
			      zr_net_reclaim_fn reclaim, void *ctx);

/** zr_net_account_close() - close an account, whose memory is freed */
void zr_net_account_close(struct zr_net_budget *budget, zr_handle account);

/**
 * zr_net_account_set() - set what a connection holds
 * @budget: the budget, or NULL
 * @account: account of the connection
 * @bytes: number of bytes that it holds
 * @moved: number of bytes that it has received and sent so far
 * @state: what it holds them for
 *
 * Reclaims nothing; see zr_net_budget_enforce().
 */
void zr_net_account_set(struct zr_net_budget *budget, zr_handle account,
			size_t bytes, uint64_t moved, enum zr_net_state state);

/**
 * zr_net_budget_enforce() - reclaim memory until the budget is kept
 * @budget: the budget, or NULL
 *
 * Return: false if the budget stays exceeded, so that a request which is
 * complete now has to be rejected.
 */
bool zr_net_budget_enforce(struct zr_net_budget *budget);

/**
 * zr_net_budget_admit() - whether one more connection may be accepted
 * @budget: the budget, or NULL: any number may
 *
 * A quarter of the descriptors that the process may open is left to its own
 * connections, so that callers cannot cut it off from the store. When the
 * others are in use, a connection without a request in progress is closed for
 * each new one; a new one is rejected if these are not closed in time.
 */
bool zr_net_budget_admit(struct zr_net_budget *budget);

/** zr_net_budget_used() - number of bytes that all connections hold */
size_t zr_net_budget_used(const struct zr_net_budget *budget);

#endif

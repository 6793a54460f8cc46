#ifndef ZR_CELL_MEMBERS_H
#define ZR_CELL_MEMBERS_H

#include <uv.h>

#include "cell/scheduler.h"
#include "zinniarack/cell.h"
#include "zinniarack/timer.h"

/**
 * DOC: Hosts of a cell
 *
 * Each host keeps its RPC address in the store under a lease. The host whose
 * scheduler is active reads them and asks the adviser through all of them.
 */

struct zr_cell_members;

/** struct zr_cell_members_events - what other hosts ask of this one */
struct zr_cell_members_events {
	bool (*news)(void *ctx, const char *job, const void *record,
		     size_t length);
	void (*state)(void *ctx, const char *job, zr_cell_state_fn done,
		      void *done_ctx);
};

/** Called when the hosts through which the adviser can be asked have changed.
 */
typedef void (*zr_cell_members_fn)(void *ctx,
				   const struct zr_cell_helper *helpers,
				   size_t count);

/**
 * zr_cell_members_new() - register this host and serve the others
 * @out: to be freed with zr_cell_members_free()
 * @loop: the loop it runs on
 * @timers: where timers come from
 * @surroundings: what it calls; kept by reference
 * @name: this host's name
 * @address: its RPC address
 * @processors: how large the host is
 * @changed: called with @ctx while zr_cell_members_follow() is on
 * @events: called with @ctx
 * @ctx: passed to @changed
 *
 * Return: 0, ZR_E_INVALID or ZR_E_ADDRESS_IN_USE.
 */
int zr_cell_members_new(struct zr_cell_members **out, uv_loop_t *loop,
			const struct zr_timers *timers,
			const struct zr_cell_surroundings *surroundings,
			const char *name, const char *address,
			double processors, zr_cell_members_fn changed,
			const struct zr_cell_members_events *events, void *ctx);

/**
 * zr_cell_members_tell() - tell a host of a job that the store holds
 * @members: the hosts
 * @host: the host that owns the cell
 * @job: the job
 * @record: its record; NULL for a cancellation
 * @length: bytes of @record
 */
void zr_cell_members_tell(struct zr_cell_members *members, const char *host,
			  const char *job, const void *record, size_t length);

/** zr_cell_members_state() - ask a host where a job stands */
void zr_cell_members_state(struct zr_cell_members *members, const char *host,
			   const char *job, zr_cell_state_fn done, void *ctx);

/** zr_cell_members_follow() - whether this host asks the adviser through all */
void zr_cell_members_follow(struct zr_cell_members *members, bool follow);

/** zr_cell_members_larger() - whether a larger host was there when last read */
bool zr_cell_members_larger(const struct zr_cell_members *members);

/** zr_cell_members_leave() - this host asks the adviser for others no more */
void zr_cell_members_leave(struct zr_cell_members *members);

#endif

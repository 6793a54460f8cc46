#ifndef ZR_CELL_SCHEDULER_H
#define ZR_CELL_SCHEDULER_H

#include "zinniarack/cell.h"
#include "zinniarack/clock.h"
#include "zinniarack/frontend.h"
#include "zinniarack/metrics.h"
#include "zinniarack/timer.h"

/**
 * DOC: Scheduler of a cell
 *
 * Competes for the cell. While it owns it, it takes in accepted jobs, decides
 * where their tasks run, orders workers, and keeps in the store where jobs
 * stand. Knows no sockets: store, workers and hosts are tables of callbacks.
 */

struct zr_cell_scheduler;

/**
 * struct zr_cell_limits - times that the surroundings set
 * @lease_ms: length of the leases given to workers
 * @lease_max_ms: a lease is never longer, whoever gave it
 * @keep_ended_ms: how long an ended job's state can be read
 */
struct zr_cell_limits {
	unsigned int lease_ms;
	unsigned int lease_max_ms;
	unsigned int keep_ended_ms;
};

/**
 * struct zr_cell_helper - a host through which the adviser can be asked
 * @ask: as &struct zr_cell_surroundings.advise, through that host
 * @ctx: passed to @ask
 */
struct zr_cell_helper {
	char name[ZR_NAME_MAX];
	void (*ask)(void *ctx, const char *job, uint32_t occurrence,
		    uint32_t step, const char *const *workers, size_t count,
		    unsigned int timeout_ms, zr_cell_advise_fn done,
		    void *done_ctx);
	void *ctx;
};

/**
 * struct zr_cell_scheduler_options - what a scheduler works with
 * @timers: where timers come from
 * @clock: a clock that goes on while the host is suspended
 * @surroundings: what it calls; kept by reference
 * @limits: times
 * @host: this host's name
 * @cell: the cell's name
 * @metrics: where it counts
 */
struct zr_cell_scheduler_options {
	const struct zr_timers *timers;
	const struct zr_clock *clock;
	const struct zr_cell_surroundings *surroundings;
	struct zr_cell_limits limits;
	const char *host;
	const char *cell;
	struct zr_metrics *metrics;
};

int zr_cell_scheduler_new(struct zr_cell_scheduler **out,
			  const struct zr_cell_scheduler_options *options);

/** zr_cell_scheduler_configure() - @config is in force; kept by reference */
void zr_cell_scheduler_configure(struct zr_cell_scheduler *scheduler,
				 const struct zr_cell_config *config);

/** zr_cell_scheduler_helpers() - hosts that can ask the adviser, as a copy */
void zr_cell_scheduler_helpers(struct zr_cell_scheduler *scheduler,
			       const struct zr_cell_helper *helpers,
			       size_t count);

/** zr_cell_scheduler_outsized() - whether a larger host could own the cell */
void zr_cell_scheduler_outsized(struct zr_cell_scheduler *scheduler,
				bool outsized);

/** zr_cell_scheduler_active() - whether it owns the cell and places tasks */
bool zr_cell_scheduler_active(const struct zr_cell_scheduler *scheduler);

/** zr_cell_scheduler_holder() - the host that owns the cell, "" if unknown */
const char *zr_cell_scheduler_holder(const struct zr_cell_scheduler *scheduler);

/**
 * zr_cell_scheduler_news() - the store holds a job, or its cancellation
 * @scheduler: the scheduler
 * @id: the job
 * @record: its record; NULL for a cancellation
 * @length: bytes of @record
 *
 * Return: whether it was taken; the watch tells of it in any case.
 */
bool zr_cell_scheduler_news(struct zr_cell_scheduler *scheduler, const char *id,
			    const void *record, size_t length);

/**
 * typedef zr_cell_state_fn - where a job stands, as the store holds it
 * @ctx: as passed
 * @error: 0; ZR_E_NOT_OWNER or ZR_E_NOT_FOUND when the store has to be asked
 * @state: its state
 */
typedef void (*zr_cell_state_fn)(void *ctx, int error,
				 enum zr_cell_job_state state);

/**
 * zr_cell_scheduler_state() - ask where a job stands
 * @scheduler: the scheduler
 * @id: the job
 * @done: called once, at the latest 250 ms later
 * @ctx: passed to @done
 */
void zr_cell_scheduler_state(struct zr_cell_scheduler *scheduler,
			     const char *id, zr_cell_state_fn done, void *ctx);

/** zr_cell_scheduler_release() - hand the cell over; @done is called once */
void zr_cell_scheduler_release(struct zr_cell_scheduler *scheduler,
			       void (*done)(void *ctx), void *ctx);

void zr_cell_scheduler_free(struct zr_cell_scheduler *scheduler);

#endif

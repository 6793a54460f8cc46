#ifndef SCHED_CORE_H
#define SCHED_CORE_H

#include "sched/types.h"
#include "zinniarack/charts.h"
#include "zinniarack/errors.h"

/**
 * DOC: Inside of the scheduler core
 *
 * Each file of this folder has one job; this header holds what they call of
 * each other.
 */

/* Rows of the tables; NULL for a row that is gone. */
struct zr_sched_job *zr_sched_job_row(const struct zr_sched *sched,
				      zr_handle job);
struct zr_sched_host *zr_sched_host_row(const struct zr_sched *sched,
					zr_handle worker);
struct zr_sched_team *zr_sched_team_row(const struct zr_sched *sched,
					zr_handle team);
struct zr_sched_placement *zr_sched_placement_row(const struct zr_sched *sched,
						  zr_handle placement);

/** zr_sched_now_refresh() - read the clock once for the event in hand */
void zr_sched_now_refresh(struct zr_sched *sched);

/* names.c */
struct zr_sched_name *zr_sched_name_take(struct zr_sched *sched,
					 const char *text);
void zr_sched_name_drop(struct zr_sched *sched, struct zr_sched_name *name);

/* profile.c */
struct zr_sched_profile *zr_sched_profile_take(struct zr_sched *sched,
					       zr_handle team,
					       const char *team_name,
					       const char *name);
void zr_sched_profile_drop(struct zr_sched *sched,
			   struct zr_sched_profile *profile);
void zr_sched_profile_learn(struct zr_sched_profile *profile,
			    const struct zr_resources *peak,
			    const struct zr_resources *given, int64_t run_ms);
/**
 * zr_sched_profile_saw() - take a report of a running task
 * @given: what was reserved at its start
 * @first: whether it is the first of that task
 *
 * Return: whether the least that tasks of this name need is known from now on.
 */
bool zr_sched_profile_saw(struct zr_sched_profile *profile,
			  const struct zr_resources *used,
			  const struct zr_resources *given, bool first);
/** zr_sched_job_need() - the room to reserve for a task of a job */
struct zr_resources zr_sched_job_need(const struct zr_sched_job *job);
/** zr_sched_job_run_ms() - expected run time, INT64_MAX when unknown */
int64_t zr_sched_job_run_ms(const struct zr_sched_job *job);

/* team.c */
int zr_sched_team_obtain(zr_handle *out, struct zr_sched *sched,
			 const char *name);
zr_handle zr_sched_team_find(const struct zr_sched *sched, const char *name);
/** zr_sched_team_allows() - whether @count tasks more stay in its limit */
bool zr_sched_team_allows(const struct zr_sched_team *team,
			  const struct zr_resources *size, uint32_t count);
/** zr_sched_team_could() - whether it would if nothing else were running */
bool zr_sched_team_could(const struct zr_sched_team *team,
			 const struct zr_resources *size, uint32_t count);
/** zr_sched_team_over() - whether it has more than its limit */
bool zr_sched_team_over(const struct zr_sched_team *team);
struct zr_resources zr_sched_team_limit(const struct zr_sched_team *team);
void zr_sched_team_use(struct zr_sched *sched, struct zr_sched_team *team,
		       const struct zr_resources *before,
		       const struct zr_resources *after);
void zr_sched_teams_weigh(struct zr_sched *sched);

/* policy.c */
struct zr_sched_policy zr_sched_policy_of(enum zr_policy policy);

/* index.c */
/** zr_sched_index_update() - a worker's free room or state has changed */
void zr_sched_index_update(struct zr_sched *sched, zr_handle worker);
unsigned int zr_sched_level(uint32_t amount);

/* fit.c */
struct zr_resources zr_sched_host_free(const struct zr_sched_host *host);
/** zr_sched_fit_find() - the worker on which a task of a job fits best */
zr_handle zr_sched_fit_find(struct zr_sched *sched,
			    const struct zr_sched_job *job,
			    const struct zr_resources *need);
/** zr_sched_fits_empty() - whether @count tasks fit the cell when empty */
bool zr_sched_fits_empty(const struct zr_sched *sched,
			 const struct zr_resources *need, uint32_t count);

/* queue.c */
int zr_sched_queue_push(struct zr_sched *sched, zr_handle job, bool first);
void zr_sched_queue_remove(struct zr_sched *sched, zr_handle job);
void zr_sched_class_unblock(struct zr_sched *sched,
			    struct zr_sched_class *class);
void zr_sched_queue_block(struct zr_sched *sched, struct zr_sched_class *class,
			  enum zr_sched_wait wait,
			  const struct zr_resources *refused);
/** zr_sched_queue_freed() - room is free on a worker: try what it can hold */
void zr_sched_queue_freed(struct zr_sched *sched, zr_handle worker);
/** zr_sched_freed_drop() - a worker is about to go */
void zr_sched_freed_drop(struct zr_sched *sched, zr_handle worker);
/** zr_sched_queue_unblock() - try what waits for @wait; a team or all teams */
void zr_sched_queue_unblock(struct zr_sched *sched, zr_handle team,
			    enum zr_sched_wait wait);
/** zr_sched_queue_unblock_urgent() - budgets may allow preemption now */
void zr_sched_queue_unblock_urgent(struct zr_sched *sched);
/** zr_sched_class_matches() - whether a job is still in the right class */
bool zr_sched_class_matches(const struct zr_sched_job *job);
/** zr_sched_queue_best() - the class to try next, or NULL */
struct zr_sched_class *zr_sched_queue_best(struct zr_sched *sched);
void zr_sched_queues_configure(struct zr_sched *sched);
void zr_sched_lane_append(struct zr_sched *sched, struct zr_sched_lane *lane,
			  zr_handle job, bool first);
void zr_sched_lane_remove(struct zr_sched *sched, struct zr_sched_lane *lane,
			  zr_handle job);

/* lane.c */
uint32_t zr_sched_lane_find(const struct zr_sched_class *class,
			    int64_t start_by, uint32_t rank);
int zr_sched_lane_obtain(uint32_t *out, struct zr_sched_class *class,
			 int64_t start_by, uint32_t rank);
void zr_sched_lane_drop(struct zr_sched_class *class, uint32_t at);

/* jobs.c */
/** zr_sched_job_leave_list() - take a job off the list on which it is */
void zr_sched_job_leave_list(struct zr_sched *sched, zr_handle job);
/** zr_sched_job_event() - let an event move a job by its chart, and tell */
void zr_sched_job_event(struct zr_sched *sched, zr_handle job,
			enum zr_job_event event, const char *reason);
/** zr_sched_job_route() - put a job on the list where it now belongs */
void zr_sched_job_route(struct zr_sched *sched, zr_handle job, bool first);
/** zr_sched_job_park() - take a job out of the queues as it cannot run */
void zr_sched_job_park(struct zr_sched *sched, zr_handle job,
		       enum zr_sched_wait wait);
void zr_sched_job_settle(struct zr_sched *sched, zr_handle job);
/** zr_sched_job_could_run() - whether it would if nothing else were running */
bool zr_sched_job_could_run(const struct zr_sched *sched,
			    const struct zr_sched_job *job);
/** zr_sched_job_unreserve() - let go of room kept for a job's tasks */
void zr_sched_job_unreserve(struct zr_sched *sched, zr_handle job);
/** zr_sched_job_obstacle() - why a job could not run */
enum zr_sched_wait zr_sched_job_obstacle(const struct zr_sched *sched,
					 const struct zr_sched_job *job);
/** zr_sched_job_delay() - its next try comes later each time */
void zr_sched_job_delay(const struct zr_sched *sched, struct zr_sched_job *job);
/** zr_sched_job_waiting() - how many of its tasks wait and have no claim */
uint32_t zr_sched_job_waiting(const struct zr_sched_job *job);
/** zr_sched_job_next_task() - the first waiting task, or job->tasks */
uint32_t zr_sched_job_next_task(struct zr_sched_job *job);
/** zr_sched_job_rank() - worth of a job and of its queue, as configured */
uint32_t zr_sched_job_rank(const struct zr_sched *sched,
			   const struct zr_sched_job *job);
void zr_sched_jobs_due(struct zr_sched *sched);
void zr_sched_parked_review(struct zr_sched *sched);
/** zr_sched_parked_reconsider() - a worker or limit has changed */
void zr_sched_parked_reconsider(struct zr_sched *sched);
int zr_sched_slots_obtain(struct zr_sched *sched, struct zr_sched_job *job);
const struct zr_job_spec *zr_sched_job_spec(struct zr_sched *sched,
					    const struct zr_sched_job *job);
void zr_sched_job_clear(struct zr_sched *sched, struct zr_sched_job *job);

/* tasks.c */
/** zr_sched_task_find() - the job of a task, NULL when there is none */
struct zr_sched_job *zr_sched_task_find(struct zr_sched *sched, zr_handle job,
					uint32_t index);
/** zr_sched_task_reserve() - reserve room for a task on a worker */
int zr_sched_task_reserve(zr_handle *out, struct zr_sched *sched, zr_handle job,
			  uint32_t index, zr_handle worker);
/** zr_sched_task_start() - reserve room for a task and give it to the sink */
int zr_sched_task_start(zr_handle *out, struct zr_sched *sched, zr_handle job,
			zr_handle worker, const char *reason);
struct zr_sched_task zr_sched_task_name(const struct zr_sched *sched,
					zr_handle placement);
void zr_sched_placement_resize(struct zr_sched *sched, zr_handle placement,
			       const struct zr_resources *reserved);

/* hosts.c */
void zr_sched_host_hold(struct zr_sched *sched, zr_handle worker,
			const struct zr_resources *size);
void zr_sched_host_unhold(struct zr_sched *sched, zr_handle worker,
			  const struct zr_resources *size);

/* stop.c */
/** zr_sched_stop() - tell a worker now to stop a task */
void zr_sched_stop(struct zr_sched *sched, zr_handle placement,
		   enum zr_sched_stop why);
/** zr_sched_stop_paced() - stop a task when it is its worker's turn */
void zr_sched_stop_paced(struct zr_sched *sched, zr_handle placement);
/** zr_sched_stop_ended() - a task is about to go; its worker may stop more */
void zr_sched_stop_ended(struct zr_sched *sched, zr_handle placement);
void zr_sched_stops_due(struct zr_sched *sched);

/* drain.c */
/** zr_sched_drains_due() - move services away from leaving workers */
void zr_sched_drains_due(struct zr_sched *sched);
/** zr_sched_drain_ended() - let go of the room to which a task was to move */
void zr_sched_drain_ended(struct zr_sched *sched,
			  const struct zr_sched_placement *placement);
/** zr_sched_drain_moved() - keep that room for the replica that waits now */
void zr_sched_drain_moved(struct zr_sched *sched,
			  const struct zr_sched_placement *placement);

/** zr_sched_work() - jobs and workers examined so far */
uint64_t zr_sched_work(const struct zr_sched *sched);

/* preempt.c */
/** zr_sched_preempt() - make room for a task of an urgent job */
bool zr_sched_preempt(struct zr_sched *sched, zr_handle job,
		      const struct zr_resources *need);
/** zr_sched_claim_add() - keep room on a worker for a waiting task of a job */
bool zr_sched_claim_add(struct zr_sched *sched, zr_handle job, zr_handle worker,
			const struct zr_resources *need, const char *reason);
/** zr_sched_claims_due() - start at most @most tasks whose room is there */
unsigned int zr_sched_claims_due(struct zr_sched *sched, unsigned int most);
void zr_sched_claims_drop(struct zr_sched *sched, zr_handle job,
			  zr_handle worker);

/* forecast.c */
/** zr_sched_foresee() - where @wanted members can start soonest */
void zr_sched_foresee(struct zr_sched_forecast *forecast,
		      struct zr_sched *sched, const struct zr_resources *need,
		      uint32_t wanted);

/* gang.c */
/** zr_sched_gang_try() - start all tasks of a gang, or reserve for them */
unsigned int zr_sched_gang_try(struct zr_sched *sched, zr_handle job,
			       const struct zr_resources *need);
unsigned int zr_sched_gang_due(struct zr_sched *sched, unsigned int most);
void zr_sched_gang_drop(struct zr_sched *sched, zr_handle job,
			zr_handle worker);
/** zr_sched_gang_check() - stop a gang that misses a member */
void zr_sched_gang_check(struct zr_sched *sched, zr_handle job);
/** zr_sched_backfill_find() - a worker of the reservation to lend room of */
zr_handle zr_sched_backfill_find(struct zr_sched *sched,
				 const struct zr_sched_job *job,
				 const struct zr_resources *need);

/* relief.c */
void zr_sched_relieve(struct zr_sched *sched, zr_handle worker);

/** zr_sched_team_relieve() - stop tasks of a team that is over its limit */
void zr_sched_team_relieve(struct zr_sched *sched, zr_handle team);

/* blame.c */
void zr_sched_blame_succeeded(struct zr_sched *sched, zr_handle job,
			      zr_handle worker, bool probe);
void zr_sched_blame_failed(struct zr_sched *sched, zr_handle job,
			   zr_handle worker, bool probe,
			   enum zr_sched_outcome outcome);
bool zr_sched_blame_avoids(const struct zr_sched_job *job, zr_handle worker);
/** zr_sched_probe_due() - whether a suspect worker may get a probe */
bool zr_sched_probe_due(const struct zr_sched *sched,
			const struct zr_sched_host *host);
/** zr_sched_probes_due() - look for a worker whose probe is due */
void zr_sched_probes_due(struct zr_sched *sched);
/** zr_sched_probe_find() - a suspect worker that may get a probe, or none */
zr_handle zr_sched_probe_find(struct zr_sched *sched,
			      const struct zr_sched_job *job,
			      const struct zr_resources *need);

#endif

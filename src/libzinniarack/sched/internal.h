#ifndef SCHED_INTERNAL_H
#define SCHED_INTERNAL_H

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
struct zr_sched_job *zr_sched_job_get(const struct zr_sched *sched,
				      zr_handle job);
struct zr_sched_worker_entry *
zr_sched_worker_entry_get(const struct zr_sched *sched, zr_handle worker);
struct zr_sched_team *zr_sched_team_get(const struct zr_sched *sched,
					zr_handle team);
struct zr_sched_placement *zr_sched_placement_get(const struct zr_sched *sched,
						  zr_handle placement);

/** zr_sched_now_refresh() - read the clock once for the event in hand */
void zr_sched_now_refresh(struct zr_sched *sched);

/* names.c */
struct zr_sched_name *zr_sched_name_acquire(struct zr_sched *sched,
					    const char *text);
void zr_sched_name_release(struct zr_sched *sched, struct zr_sched_name *name);

/* profile.c */
struct zr_sched_profile *zr_sched_profile_acquire(struct zr_sched *sched,
						  zr_handle team,
						  const char *team_name,
						  const char *name);
void zr_sched_profile_release(struct zr_sched *sched,
			      struct zr_sched_profile *profile);
void zr_sched_profile_add_run(struct zr_sched_profile *profile,
			      const struct zr_resources *peak,
			      const struct zr_resources *given, int64_t run_ms);
/**
 * zr_sched_profile_add_report() - take a report of a running task
 * @given: what was reserved at its start
 * @first: whether it is the first of that task
 *
 * Return: whether the least that tasks of this name need is known from now on.
 */
bool zr_sched_profile_add_report(struct zr_sched_profile *profile,
				 const struct zr_resources *used,
				 const struct zr_resources *given, bool first);
/** zr_sched_job_need() - the room to reserve for a task of a job */
struct zr_resources zr_sched_job_need(const struct zr_sched_job *job);
/** zr_sched_job_run_ms() - expected run time, INT64_MAX when unknown */
int64_t zr_sched_job_run_ms(const struct zr_sched_job *job);

/* team.c */
int zr_sched_team_get_or_add(zr_handle *out, struct zr_sched *sched,
			     const char *name);
zr_handle zr_sched_team_find(const struct zr_sched *sched, const char *name);
/** zr_sched_team_has_quota() - whether @count tasks more stay in its limit */
bool zr_sched_team_has_quota(const struct zr_sched_team *team,
			     const struct zr_resources *size, uint32_t count);
/** zr_sched_team_limit_fits() - whether it would if nothing else were running
 */
bool zr_sched_team_limit_fits(const struct zr_sched_team *team,
			      const struct zr_resources *size, uint32_t count);
/** zr_sched_team_is_over_limit() - whether it has more than its limit */
bool zr_sched_team_is_over_limit(const struct zr_sched_team *team);
struct zr_resources zr_sched_team_limit(const struct zr_sched_team *team);
void zr_sched_team_update_usage(struct zr_sched *sched,
				struct zr_sched_team *team,
				const struct zr_resources *before,
				const struct zr_resources *after);
void zr_sched_teams_update_shares(struct zr_sched *sched);

/* policy.c */
struct zr_sched_policy zr_sched_policy_get(enum zr_policy policy);

/* index.c */
/** zr_sched_index_update() - a worker's free room or state has changed */
void zr_sched_index_update(struct zr_sched *sched, zr_handle worker);
unsigned int zr_sched_index_level(uint32_t amount);

/* fit.c */
struct zr_resources
zr_sched_worker_entry_free_resources(const struct zr_sched_worker_entry *entry);
/** zr_sched_fit_find() - the worker on which a task of a job fits best */
zr_handle zr_sched_fit_find(struct zr_sched *sched,
			    const struct zr_sched_job *job,
			    const struct zr_resources *need);
/** zr_sched_fits_idle() - whether @count tasks fit the cell when empty */
bool zr_sched_fits_idle(const struct zr_sched *sched,
			const struct zr_resources *need, uint32_t count);

/* queue.c */
int zr_sched_queue_push(struct zr_sched *sched, zr_handle job, bool first);
void zr_sched_queue_remove(struct zr_sched *sched, zr_handle job);
void zr_sched_class_unblock(struct zr_sched *sched,
			    struct zr_sched_class *class);
void zr_sched_class_block(struct zr_sched *sched, struct zr_sched_class *class,
			  enum zr_sched_wait wait,
			  const struct zr_resources *refused);
/** zr_sched_freed_add() - room is free on a worker: try what it can hold */
void zr_sched_freed_add(struct zr_sched *sched, zr_handle worker);
/** zr_sched_freed_remove() - a worker is about to go */
void zr_sched_freed_remove(struct zr_sched *sched, zr_handle worker);
/** zr_sched_classes_unblock() - try what waits for @wait; a team or all teams
 */
void zr_sched_classes_unblock(struct zr_sched *sched, zr_handle team,
			      enum zr_sched_wait wait);
/** zr_sched_classes_unblock_urgent() - budgets may allow preemption now */
void zr_sched_classes_unblock_urgent(struct zr_sched *sched);
/** zr_sched_class_matches() - whether a job is still in the right class */
bool zr_sched_class_matches(const struct zr_sched_job *job);
/** zr_sched_queue_best() - the class to try next, or NULL */
struct zr_sched_class *zr_sched_queue_best(struct zr_sched *sched);
void zr_sched_queues_configure(struct zr_sched *sched);
void zr_sched_job_list_insert(struct zr_sched *sched,
			      struct zr_sched_job_list *lane, zr_handle job,
			      bool first);
void zr_sched_job_list_remove(struct zr_sched *sched,
			      struct zr_sched_job_list *lane, zr_handle job);

/* job_list.c */
uint32_t zr_sched_class_find_list(const struct zr_sched_class *class,
				  int64_t start_by, uint32_t rank);
int zr_sched_class_get_or_add_list(uint32_t *out, struct zr_sched_class *class,
				   int64_t start_by, uint32_t rank);
void zr_sched_class_remove_list(struct zr_sched_class *class, uint32_t at);

/* jobs.c */
/** zr_sched_job_leave_list() - take a job off the list on which it is */
void zr_sched_job_leave_list(struct zr_sched *sched, zr_handle job);
/** zr_sched_job_event() - let an event move a job by its chart, and tell */
void zr_sched_job_event(struct zr_sched *sched, zr_handle job,
			enum zr_job_event event, const char *reason);
/** zr_sched_job_update_list() - put a job on the list where it now belongs */
void zr_sched_job_update_list(struct zr_sched *sched, zr_handle job,
			      bool first);
/** zr_sched_job_park() - take a job out of the queues as it cannot run */
void zr_sched_job_park(struct zr_sched *sched, zr_handle job,
		       enum zr_sched_wait wait);
void zr_sched_job_update_state(struct zr_sched *sched, zr_handle job);
/** zr_sched_job_is_schedulable() - whether it would if nothing else were
 * running */
bool zr_sched_job_is_schedulable(const struct zr_sched *sched,
				 const struct zr_sched_job *job);
/** zr_sched_job_release_holds() - let go of room kept for a job's tasks */
void zr_sched_job_release_holds(struct zr_sched *sched, zr_handle job);
/** zr_sched_job_unschedulable_reason() - why a job could not run */
enum zr_sched_wait
zr_sched_job_unschedulable_reason(const struct zr_sched *sched,
				  const struct zr_sched_job *job);
/** zr_sched_job_back_off() - its next try comes later each time */
void zr_sched_job_back_off(const struct zr_sched *sched,
			   struct zr_sched_job *job);
/** zr_sched_job_waiting_count() - how many of its tasks wait and have no claim
 */
uint32_t zr_sched_job_waiting_count(const struct zr_sched_job *job);
/** zr_sched_job_next_task() - the first waiting task, or job->tasks */
uint32_t zr_sched_job_next_task(struct zr_sched_job *job);
/** zr_sched_job_effective_priority() - worth of a job and of its queue, as
 * configured */
uint32_t zr_sched_job_effective_priority(const struct zr_sched *sched,
					 const struct zr_sched_job *job);
void zr_sched_backoff_process(struct zr_sched *sched);
void zr_sched_parked_recheck(struct zr_sched *sched);
/** zr_sched_parked_recheck_all() - a worker or limit has changed */
void zr_sched_parked_recheck_all(struct zr_sched *sched);
int zr_sched_job_alloc_task_entries(struct zr_sched *sched,
				    struct zr_sched_job *job);
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
struct zr_sched_task zr_sched_task_describe(const struct zr_sched *sched,
					    zr_handle placement);
void zr_sched_placement_resize(struct zr_sched *sched, zr_handle placement,
			       const struct zr_resources *reserved);

/* workers.c */
void zr_sched_worker_entry_hold(struct zr_sched *sched, zr_handle worker,
				const struct zr_resources *size);
void zr_sched_worker_entry_unhold(struct zr_sched *sched, zr_handle worker,
				  const struct zr_resources *size);

/* stop.c */
/** zr_sched_stop() - tell a worker now to stop a task */
void zr_sched_stop(struct zr_sched *sched, zr_handle placement,
		   enum zr_sched_stop_reason why);
/** zr_sched_stop_cancelled() - stop a task when it is its worker's turn */
void zr_sched_stop_cancelled(struct zr_sched *sched, zr_handle placement);
/** zr_sched_stop_ended() - a task is about to go; its worker may stop more */
void zr_sched_stop_ended(struct zr_sched *sched, zr_handle placement);
void zr_sched_stops_process(struct zr_sched *sched);

/* drain.c */
/** zr_sched_drains_process() - move services away from leaving workers */
void zr_sched_drains_process(struct zr_sched *sched);
/** zr_sched_drain_release() - let go of the room to which a task was to move */
void zr_sched_drain_release(struct zr_sched *sched,
			    const struct zr_sched_placement *placement);
/** zr_sched_drain_claim() - keep that room for the replica that waits now */
void zr_sched_drain_claim(struct zr_sched *sched,
			  const struct zr_sched_placement *placement);

/** zr_sched_examined_count() - jobs and workers examined so far */
uint64_t zr_sched_examined_count(const struct zr_sched *sched);

/* preempt.c */
/** zr_sched_preempt() - make room for a task of an urgent job */
bool zr_sched_preempt(struct zr_sched *sched, zr_handle job,
		      const struct zr_resources *need);
/** zr_sched_claim_add() - keep room on a worker for a waiting task of a job */
bool zr_sched_claim_add(struct zr_sched *sched, zr_handle job, zr_handle worker,
			const struct zr_resources *need, const char *reason);
/** zr_sched_claims_process() - start at most @most tasks whose room is there */
unsigned int zr_sched_claims_process(struct zr_sched *sched,
				     unsigned int max_starts);
void zr_sched_claims_remove(struct zr_sched *sched, zr_handle job,
			    zr_handle worker);

/* forecast.c */
/** zr_sched_forecast_compute() - where @wanted members can start soonest */
void zr_sched_forecast_compute(struct zr_sched_forecast *forecast,
			       struct zr_sched *sched,
			       const struct zr_resources *need,
			       uint32_t wanted);

/* gang.c */
/** zr_sched_gang_try() - start all tasks of a gang, or reserve for them */
unsigned int zr_sched_gang_try(struct zr_sched *sched, zr_handle job,
			       const struct zr_resources *need);
unsigned int zr_sched_gang_process(struct zr_sched *sched, unsigned int most);
void zr_sched_gang_release(struct zr_sched *sched, zr_handle job,
			   zr_handle worker);
/** zr_sched_gang_stop_incomplete() - stop a gang that misses a member */
void zr_sched_gang_stop_incomplete(struct zr_sched *sched, zr_handle job);
/** zr_sched_backfill_find() - a worker of the reservation to lend room of */
zr_handle zr_sched_backfill_find(struct zr_sched *sched,
				 const struct zr_sched_job *job,
				 const struct zr_resources *need);

/* overcommit.c */
void zr_sched_overcommit_resolve(struct zr_sched *sched, zr_handle worker);

/** zr_sched_team_enforce_limit() - stop tasks of a team that is over its limit
 */
void zr_sched_team_enforce_limit(struct zr_sched *sched, zr_handle team);

/* health.c */
void zr_sched_health_task_succeeded(struct zr_sched *sched, zr_handle job,
				    zr_handle worker, bool probe);
void zr_sched_health_task_failed(struct zr_sched *sched, zr_handle job,
				 zr_handle worker, bool probe,
				 enum zr_sched_outcome outcome);
bool zr_sched_job_avoids_worker(const struct zr_sched_job *job,
				zr_handle worker);
/** zr_sched_probe_is_due() - whether a suspect worker may get a probe */
bool zr_sched_probe_is_due(const struct zr_sched *sched,
			   const struct zr_sched_worker_entry *entry);
/** zr_sched_probes_process() - look for a worker whose probe is due */
void zr_sched_probes_process(struct zr_sched *sched);
/** zr_sched_probe_find() - a suspect worker that may get a probe, or none */
zr_handle zr_sched_probe_find(struct zr_sched *sched,
			      const struct zr_sched_job *job,
			      const struct zr_resources *need);

#endif

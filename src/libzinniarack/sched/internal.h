#ifndef SCHED_INTERNAL_H
#define SCHED_INTERNAL_H

#include "sched/types.h"
#include "zinniarack/charts.h"
#include "zinniarack/errors.h"

/**
 * DOC: Internal functions of the scheduler core
 *
 * Declares the functions that the files of this folder call of each other,
 * grouped by the file that defines them. Parameters named job, worker, team and
 * placement are handles when their type is zr_handle. A definition may name
 * such a parameter handle and use the other name for the pointer to the record.
 */

/* Look up a record by its handle; NULL when it has been removed. */
struct zr_sched_job *zr_sched_job_get(const struct zr_sched *sched,
				      zr_handle job);
struct zr_sched_worker_entry *
zr_sched_worker_entry_get(const struct zr_sched *sched, zr_handle worker);
struct zr_sched_team *zr_sched_team_get(const struct zr_sched *sched,
					zr_handle team);
struct zr_sched_placement *zr_sched_placement_get(const struct zr_sched *sched,
						  zr_handle placement);

/* decide.c */
/** zr_sched_now_refresh() - set &struct zr_sched.now for the current event */
void zr_sched_now_refresh(struct zr_sched *sched);

/* names.c */
/** zr_sched_name_acquire() - intern a string; NULL when out of memory */
struct zr_sched_name *zr_sched_name_acquire(struct zr_sched *sched,
					    const char *text);

/** zr_sched_name_release() - release a reference; @name may be NULL */
void zr_sched_name_release(struct zr_sched *sched, struct zr_sched_name *name);

/* profile.c */
/**
 * zr_sched_profile_acquire() - get or add the profile of a team's job name
 *
 * Return: the profile with one more reference, NULL when out of memory.
 */
struct zr_sched_profile *zr_sched_profile_acquire(struct zr_sched *sched,
						  zr_handle team,
						  const char *team_name,
						  const char *name);

/** zr_sched_profile_release() - release a reference; @profile may be NULL */
void zr_sched_profile_release(struct zr_sched *sched,
			      struct zr_sched_profile *profile);

/**
 * zr_sched_profile_add_run() - add a task that has succeeded
 * @peak: its highest reported usage
 * @given: what was reserved at its start
 * @run_ms: its run time in milliseconds
 */
void zr_sched_profile_add_run(struct zr_sched_profile *profile,
			      const struct zr_resources *peak,
			      const struct zr_resources *given, int64_t run_ms);

/**
 * zr_sched_profile_add_report() - add a usage report of a running task
 * @used: the reported usage
 * @given: what was reserved at its start
 * @first: whether it is the first report of that task
 *
 * Return: true if, with this report, enough tasks have reported to assume that
 * every task of the profile uses at least the lowest reported usage.
 */
bool zr_sched_profile_add_report(struct zr_sched_profile *profile,
				 const struct zr_resources *used,
				 const struct zr_resources *given, bool first);

/** zr_sched_job_need() - resources to reserve for one task of a job */
struct zr_resources zr_sched_job_need(const struct zr_sched_job *job);

/** zr_sched_job_run_ms() - expected run time in ms, INT64_MAX when unknown */
int64_t zr_sched_job_run_ms(const struct zr_sched_job *job);

/* team.c */
/** zr_sched_team_get_or_add() - find a team, or add it with a weight of 1 */
int zr_sched_team_get_or_add(zr_handle *out, struct zr_sched *sched,
			     const char *name);

/** zr_sched_team_find() - find a team; ZR_HANDLE_NONE when there is none */
zr_handle zr_sched_team_find(const struct zr_sched *sched, const char *name);

/**
 * zr_sched_team_has_quota() - check whether @count more tasks of @size stay
 * within the team's limit
 */
bool zr_sched_team_has_quota(const struct zr_sched_team *team,
			     const struct zr_resources *size, uint32_t count);

/**
 * zr_sched_team_limit_fits() - check whether @count tasks of @size fit into the
 * team's limit when no other task of the team runs
 */
bool zr_sched_team_limit_fits(const struct zr_sched_team *team,
			      const struct zr_resources *size, uint32_t count);

/** zr_sched_team_is_over_limit() - whether the team uses more than its limit */
bool zr_sched_team_is_over_limit(const struct zr_sched_team *team);

/** zr_sched_team_limit() - the smaller of its limit and its allotment */
struct zr_resources zr_sched_team_limit(const struct zr_sched_team *team);

/**
 * zr_sched_team_update_usage() - update a team's usage for a changed
 * reservation
 * @before: what a placement of the team had reserved
 * @after: what it has reserved now
 */
void zr_sched_team_update_usage(struct zr_sched *sched,
				struct zr_sched_team *team,
				const struct zr_resources *before,
				const struct zr_resources *after);

/** zr_sched_teams_update_shares() - compute the dominant shares of all teams */
void zr_sched_teams_update_shares(struct zr_sched *sched);

/* policy.c */
/** zr_sched_policy_get() - comparison function of a configured policy */
struct zr_sched_policy zr_sched_policy_get(enum zr_policy policy);

/* index.c */
/** zr_sched_index_update() - move a worker to the bucket it now belongs to */
void zr_sched_index_update(struct zr_sched *sched, zr_handle worker);

/** zr_sched_index_level() - level of an amount of millicpus or MiB */
unsigned int zr_sched_index_level(uint32_t amount);

/* fit.c */
/**
 * zr_sched_worker_entry_free_resources() - what further tasks may reserve
 *
 * Resources held for claims and gangs are not free.
 */
struct zr_resources
zr_sched_worker_entry_free_resources(const struct zr_sched_worker_entry *entry);

/** zr_sched_fit_find() - the best fit for a task, or ZR_HANDLE_NONE */
zr_handle zr_sched_fit_find(struct zr_sched *sched,
			    const struct zr_sched_job *job,
			    const struct zr_resources *need);

/** zr_sched_fits_idle() - whether idle workers could hold @count tasks */
bool zr_sched_fits_idle(const struct zr_sched *sched,
			const struct zr_resources *need, uint32_t count);

/* queue.c and order.c */
/**
 * zr_sched_queue_push() - add a job to its class
 * @requeue: the job was queued before: it keeps its position by arrival, and
 *	its class is unblocked
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_sched_queue_push(struct zr_sched *sched, zr_handle job, bool requeue);

/** zr_sched_queue_remove() - take a job out of its class */
void zr_sched_queue_remove(struct zr_sched *sched, zr_handle job);

/** zr_sched_class_unblock() - let a class be tried again */
void zr_sched_class_unblock(struct zr_sched *sched,
			    struct zr_sched_class *class);

/**
 * zr_sched_class_block() - stop trying a class until something changes
 * @wait: what its jobs wait for
 * @refused: per resource, the minimum that its refused jobs need
 */
void zr_sched_class_block(struct zr_sched *sched, struct zr_sched_class *class,
			  enum zr_sched_wait wait,
			  const struct zr_resources *refused);

/**
 * zr_sched_freed_add() - record that resources have become free on a worker
 *
 * Blocked classes whose jobs may fit the worker are tried again.
 */
void zr_sched_freed_add(struct zr_sched *sched, zr_handle worker);

/** zr_sched_freed_remove() - take a worker off the freed list */
void zr_sched_freed_remove(struct zr_sched *sched, zr_handle worker);

/**
 * zr_sched_classes_unblock() - let classes that wait for @wait be tried again
 * @team: only this team's classes; ZR_HANDLE_NONE for those of all teams
 */
void zr_sched_classes_unblock(struct zr_sched *sched, zr_handle team,
			      enum zr_sched_wait wait);

/**
 * zr_sched_classes_unblock_urgent() - let urgent jobs be tried again
 *
 * Preemption budgets may have been renewed since they were refused.
 */
void zr_sched_classes_unblock_urgent(struct zr_sched *sched);

/** zr_sched_class_matches() - whether a job still belongs to its class */
bool zr_sched_class_matches(const struct zr_sched_job *job);

/** zr_sched_queue_best() - the class to try next, or NULL */
struct zr_sched_class *zr_sched_queue_best(struct zr_sched *sched);

/** zr_sched_queues_configure() - apply the configured priorities of queues */
void zr_sched_queues_configure(struct zr_sched *sched);

/* job_list.c */
/**
 * zr_sched_job_list_insert() - put a job on a list
 * @requeue: insert it by its arrival, searching a few jobs from the head; else
 *	append it
 */
void zr_sched_job_list_insert(struct zr_sched *sched,
			      struct zr_sched_job_list *list, zr_handle job,
			      bool requeue);

/** zr_sched_job_list_remove() - take a job off a list */
void zr_sched_job_list_remove(struct zr_sched *sched,
			      struct zr_sched_job_list *list, zr_handle job);

/**
 * zr_sched_class_find_list() - find the list for a latest start and priority
 *
 * Return: its index in the class, or the index at which to insert it.
 */
uint32_t zr_sched_class_find_list(const struct zr_sched_class *class,
				  int64_t latest_start,
				  uint32_t effective_priority);

/**
 * zr_sched_class_get_or_add_list() - find the list for a latest start and
 * priority, or add an empty one
 * @out: its index in the class
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_sched_class_get_or_add_list(uint32_t *out, struct zr_sched_class *class,
				   int64_t latest_start,
				   uint32_t effective_priority);

/** zr_sched_class_remove_list() - remove an empty list, by index */
void zr_sched_class_remove_list(struct zr_sched_class *class, uint32_t index);

/* jobs.c and parked.c */
/** zr_sched_job_leave_list() - take a job off its list, if it is on one */
void zr_sched_job_leave_list(struct zr_sched *sched, zr_handle job);

/**
 * zr_sched_job_event() - apply an event to a job's state machine
 *
 * Reports the new state to the sink if it has changed.
 */
void zr_sched_job_event(struct zr_sched *sched, zr_handle job,
			enum zr_job_event event, const char *reason);

/**
 * zr_sched_job_update_list() - put a job on the list for its current state
 * @requeue: see zr_sched_queue_push()
 *
 * A job that has tasks to start and is already on a list stays on that list.
 */
void zr_sched_job_update_list(struct zr_sched *sched, zr_handle job,
			      bool requeue);

/**
 * zr_sched_job_park() - move a job that cannot be scheduled to the parked
 * jobs
 * @wait: why it cannot
 */
void zr_sched_job_park(struct zr_sched *sched, zr_handle job,
		       enum zr_sched_wait wait);

/** zr_sched_job_update_state() - end or displace a job without running tasks */
void zr_sched_job_update_state(struct zr_sched *sched, zr_handle job);

/**
 * zr_sched_job_is_schedulable() - whether a job could run if no other job ran
 */
bool zr_sched_job_is_schedulable(const struct zr_sched *sched,
				 const struct zr_sched_job *job);

/** zr_sched_job_release_holds() - release a job's claims and reservation */
void zr_sched_job_release_holds(struct zr_sched *sched, zr_handle job);

/**
 * zr_sched_job_unschedulable_reason() - why a job could not run even if no
 * other job ran, or ZR_SCHED_WAIT_NONE
 */
enum zr_sched_wait
zr_sched_job_unschedulable_reason(const struct zr_sched *sched,
				  const struct zr_sched_job *job);

/** zr_sched_job_back_off() - raise a job's backoff level, set its retry time */
void zr_sched_job_back_off(const struct zr_sched *sched,
			   struct zr_sched_job *job);

/** zr_sched_job_waiting_count() - number of waiting tasks without a claim */
uint32_t zr_sched_job_waiting_count(const struct zr_sched_job *job);

/** zr_sched_job_next_task() - index of the first waiting task, or job->tasks */
uint32_t zr_sched_job_next_task(struct zr_sched_job *job);

/**
 * zr_sched_job_effective_priority() - priority of a job plus that of its queue
 */
uint32_t zr_sched_job_effective_priority(const struct zr_sched *sched,
					 const struct zr_sched_job *job);

/** zr_sched_backoff_process() - move jobs whose delay has ended */
void zr_sched_backoff_process(struct zr_sched *sched);

/** zr_sched_parked_recheck() - examine some of the parked jobs again */
void zr_sched_parked_recheck(struct zr_sched *sched);

/** zr_sched_parked_recheck_all() - have all parked jobs examined again */
void zr_sched_parked_recheck_all(struct zr_sched *sched);

/** zr_sched_job_alloc_task_entries() - allocate the entries on first use */
int zr_sched_job_alloc_task_entries(struct zr_sched *sched,
				    struct zr_sched_job *job);

/**
 * zr_sched_job_spec() - rebuild a job's specification
 *
 * Return: a buffer of the core, valid until the next call.
 */
const struct zr_job_spec *zr_sched_job_spec(struct zr_sched *sched,
					    const struct zr_sched_job *job);

/** zr_sched_job_clear() - free what a job's record refers to */
void zr_sched_job_clear(struct zr_sched *sched, struct zr_sched_job *job);

/* tasks.c */
/** zr_sched_task_find() - the job of a task, NULL when there is no such task */
struct zr_sched_job *zr_sched_task_find(struct zr_sched *sched, zr_handle job,
					uint32_t index);

/** zr_sched_task_reserve() - add a placement for a task on a worker */
int zr_sched_task_reserve(zr_handle *out, struct zr_sched *sched, zr_handle job,
			  uint32_t index, zr_handle worker);

/**
 * zr_sched_task_start() - start the first waiting task of a job on a worker
 * @out: the new placement
 * @reason: why it starts there, for the sink
 *
 * Return: 0, ZR_E_NOMEM or ZR_E_FULL.
 */
int zr_sched_task_start(zr_handle *out, struct zr_sched *sched, zr_handle job,
			zr_handle worker, const char *reason);

/** zr_sched_task_describe() - describe the task of a placement for the sink */
struct zr_sched_task zr_sched_task_describe(const struct zr_sched *sched,
					    zr_handle placement);

/** zr_sched_placement_resize() - change what a placement has reserved */
void zr_sched_placement_resize(struct zr_sched *sched, zr_handle placement,
			       const struct zr_resources *reserved);

/* workers.c */
/** zr_sched_worker_entry_hold() - hold resources of a worker */
void zr_sched_worker_entry_hold(struct zr_sched *sched, zr_handle worker,
				const struct zr_resources *size);

/**
 * zr_sched_worker_entry_unhold() - release held resources of a worker, if it
 * has not been removed
 */
void zr_sched_worker_entry_unhold(struct zr_sched *sched, zr_handle worker,
				  const struct zr_resources *size);

/* stop.c */
/** zr_sched_stop() - send a stop or a throttle for a task now */
void zr_sched_stop(struct zr_sched *sched, zr_handle placement,
		   enum zr_sched_stop_reason reason);

/**
 * zr_sched_stop_cancelled() - stop a task of a cancelled job
 *
 * The stop is sent when few enough of its worker's stops are unfinished.
 */
void zr_sched_stop_cancelled(struct zr_sched *sched, zr_handle placement);

/** zr_sched_stop_ended() - finish a task's stop and send the next queued one */
void zr_sched_stop_ended(struct zr_sched *sched, zr_handle placement);

/** zr_sched_stops_process() - repeat stops of tasks that did not end in time */
void zr_sched_stops_process(struct zr_sched *sched);

/* drain.c */
/** zr_sched_drains_process() - migrate replicas away from leaving workers */
void zr_sched_drains_process(struct zr_sched *sched);

/** zr_sched_drain_release() - release what is held for a task's migration */
void zr_sched_drain_release(struct zr_sched *sched,
			    const struct zr_sched_placement *placement);

/**
 * zr_sched_drain_claim() - claim, for the next run of a migrating replica, the
 * resources that were held for it
 * @placement: copy of the placement that ended
 */
void zr_sched_drain_claim(struct zr_sched *sched,
			  const struct zr_sched_placement *placement);

/* decide.c */
/** zr_sched_examined_count() - number of jobs and workers examined so far */
uint64_t zr_sched_examined_count(const struct zr_sched *sched);

/* preempt.c */
/**
 * zr_sched_preempt() - preempt tasks of lower priority for an urgent job
 *
 * Return: whether a task of the job got a claim on the freed resources.
 */
bool zr_sched_preempt(struct zr_sched *sched, zr_handle job,
		      const struct zr_resources *need);

/** zr_sched_claim_add() - hold resources for a waiting task of a job */
bool zr_sched_claim_add(struct zr_sched *sched, zr_handle job, zr_handle worker,
			const struct zr_resources *need, const char *reason);

/**
 * zr_sched_claims_process() - start tasks whose claimed resources are free now
 * @max_starts: maximum number of starts
 *
 * Return: the number of starts.
 */
unsigned int zr_sched_claims_process(struct zr_sched *sched,
				     unsigned int max_starts);

/**
 * zr_sched_claims_remove() - remove the claims of a job and those on a worker
 */
void zr_sched_claims_remove(struct zr_sched *sched, zr_handle job,
			    zr_handle worker);

/* forecast.c */
/**
 * zr_sched_forecast_compute() - find where members of a gang can start soonest
 * @forecast: the result, with an array allocated by the caller
 * @need: resources of one member
 * @count: number of members
 *
 * With fewer entries than @count, the workers cannot hold the gang.
 */
void zr_sched_forecast_compute(struct zr_sched_forecast *forecast,
			       struct zr_sched *sched,
			       const struct zr_resources *need, uint32_t count);

/* gang.c */
/**
 * zr_sched_gang_try() - start all tasks of a gang, or reserve resources
 *
 * Return: the number of starts.
 */
unsigned int zr_sched_gang_try(struct zr_sched *sched, zr_handle job,
			       const struct zr_resources *need);

/**
 * zr_sched_gang_process() - start the gang whose resources are reserved
 * @max: maximum number of starts
 *
 * Releases the reservation when it has expired or the gang may no longer start
 * on it.
 *
 * Return: the number of starts.
 */
unsigned int zr_sched_gang_process(struct zr_sched *sched, unsigned int max);

/**
 * zr_sched_gang_release() - release the reservation, if it is of @job or holds
 * resources on @worker
 */
void zr_sched_gang_release(struct zr_sched *sched, zr_handle job,
			   zr_handle worker);

/** zr_sched_gang_stop_incomplete() - stop a gang that has lost a task */
void zr_sched_gang_stop_incomplete(struct zr_sched *sched, zr_handle job);

/**
 * zr_sched_backfill_find() - find a worker of the gang reservation for a task
 * that is expected to end before the gang can start
 *
 * Return: the worker, or ZR_HANDLE_NONE.
 */
zr_handle zr_sched_backfill_find(struct zr_sched *sched,
				 const struct zr_sched_job *job,
				 const struct zr_resources *need);

/* overcommit.c */
/**
 * zr_sched_overcommit_resolve() - stop or throttle tasks of an overcommitted
 * worker
 */
void zr_sched_overcommit_resolve(struct zr_sched *sched, zr_handle worker);

/**
 * zr_sched_team_enforce_limit() - stop tasks of a team that is over its limit
 */
void zr_sched_team_enforce_limit(struct zr_sched *sched, zr_handle team);

/* health.c */
/** zr_sched_health_task_succeeded() - count a success for job and worker */
void zr_sched_health_task_succeeded(struct zr_sched *sched, zr_handle job,
				    zr_handle worker, bool probe);

/**
 * zr_sched_health_task_failed() - count a failure for job and worker
 * @probe: whether the task was a probe of a suspect worker
 * @outcome: ZR_SCHED_FAILED or ZR_SCHED_NOT_STARTED; the latter does not count
 *	for the job
 */
void zr_sched_health_task_failed(struct zr_sched *sched, zr_handle job,
				 zr_handle worker, bool probe,
				 enum zr_sched_outcome outcome);

/**
 * zr_sched_job_avoids_worker() - whether a task of the job failed on a worker
 */
bool zr_sched_job_avoids_worker(const struct zr_sched_job *job,
				zr_handle worker);

/** zr_sched_probe_is_due() - whether a worker is suspect and may get a probe */
bool zr_sched_probe_is_due(const struct zr_sched *sched,
			   const struct zr_sched_worker_entry *entry);

/** zr_sched_probes_process() - find a suspect worker whose probe is due */
void zr_sched_probes_process(struct zr_sched *sched);

/**
 * zr_sched_probe_find() - find a suspect worker that a task may probe
 *
 * Return: the worker, or ZR_HANDLE_NONE when none is due or the task is not
 * suited.
 */
zr_handle zr_sched_probe_find(struct zr_sched *sched,
			      const struct zr_sched_job *job,
			      const struct zr_resources *need);

#endif

#ifndef SCHED_TYPES_H
#define SCHED_TYPES_H

#include <uthash.h>

#include "zinniarack/errors.h"
#include "zinniarack/sched.h"
#include "zinniarack/value_histogram.h"

/**
 * DOC: Types of the scheduler core
 *
 * Jobs, workers, teams, racks and placements (running tasks) are records of
 * handle tables. Records refer to each other by handle, not by pointer, because
 * a record may move when its table grows.
 *
 * Points in time (members that end in _at, and latest_start) are milliseconds
 * of the monotonic clock.
 */

/** Maximum number of jobs and workers examined by one zr_sched_decide(). */
#define ZR_SCHED_EXAMINED_MAX 8192
/**
 * A job fails once its tasks have failed on this many different workers, a gang
 * in as many runs. Services are exempt.
 */
#define ZR_SCHED_FAILED_ON_MAX 3
/**
 * A job fails after this many failed tasks, a gang after this many failed runs,
 * without a success in between. Services are exempt.
 */
#define ZR_SCHED_FAILURES_MAX 6
/**
 * A worker becomes suspect when this many different jobs have failed on it
 * without a success in between.
 */
#define ZR_SCHED_SUSPECT_FAILURES 4
/** Number of backoff levels; each delay is twice the one before. */
#define ZR_SCHED_BACKOFF_LEVELS 7
/** Delay of the first backoff level, in milliseconds. */
#define ZR_SCHED_BACKOFF_MIN_MS 1000
/**
 * Time that a stopped task has to checkpoint and end, in milliseconds. The stop
 * is then sent again, without a checkpoint, each time the interval has passed.
 * Usage reports have to show the effect of a throttle within the same time.
 */
#define ZR_SCHED_STOP_GRACE_MS 1500
/**
 * Number of levels of free processors and of free memory; each is a bit of a
 * 64-bit bitmap.
 */
#define ZR_SCHED_INDEX_LEVELS 64
/** Number of groups of workers by free accelerators, see index.c. */
#define ZR_SCHED_ACCELERATOR_GROUPS 5
/** Maximum number of different worker capacities. */
#define ZR_SCHED_SHAPES_MAX 64

/**
 * struct zr_sched_name - an interned string
 * @hh: hash table linkage, by @text
 * @refs: number of references
 * @text: the string
 */
struct zr_sched_name {
	UT_hash_handle hh;
	uint32_t refs;
	char text[];
};

/**
 * struct zr_sched_profile - usage and run times of a team's jobs of one name
 * @hh: hash table linkage, by @key
 * @team: the team
 * @refs: number of jobs that refer to it
 * @peak_memory_mb: highest reported memory usage of any task, in MiB
 * @min_reported: per resource, the lowest usage in any report
 * @reported_tasks: number of tasks with at least one usage report
 * @millicpus_histogram: peak processor usage of each task that succeeded
 * @run_ms_histogram: run time of each task that succeeded, in milliseconds
 * @estimated_millicpus: upper quantile of @millicpus_histogram plus a margin;
 *	0 until enough tasks have succeeded
 * @estimated_run_ms: upper quantile of @run_ms_histogram; 0 until enough tasks
 *	have succeeded
 * @name: the job name, points into @key
 * @key: hash key: names of the team and of the job
 */
struct zr_sched_profile {
	UT_hash_handle hh;
	zr_handle team;
	uint32_t refs;
	uint32_t peak_memory_mb;
	struct zr_resources min_reported;
	uint32_t reported_tasks;
	struct zr_value_histogram millicpus_histogram;
	struct zr_value_histogram run_ms_histogram;
	uint32_t estimated_millicpus;
	int64_t estimated_run_ms;
	const char *name;
	char key[];
};

struct zr_sched_class;

/**
 * enum zr_sched_list - the list that a job is on
 * @ZR_SCHED_LIST_NONE: on none, as no task of the job may be started now
 * @ZR_SCHED_LIST_QUEUE: a list of its class
 * @ZR_SCHED_LIST_PARKED: the parked jobs: those that would exceed the workers'
 *	capacity or their team's limit even if nothing else ran
 * @ZR_SCHED_LIST_BACKOFF: the jobs of one backoff level
 */
enum zr_sched_list {
	ZR_SCHED_LIST_NONE,
	ZR_SCHED_LIST_QUEUE,
	ZR_SCHED_LIST_PARKED,
	ZR_SCHED_LIST_BACKOFF,
};

/**
 * struct zr_sched_task_entry - state of one task of a job
 * @placement: its placement, ZR_HANDLE_NONE when it is not running
 * @attempt: number of its last attempt, 0 before the first
 * @state: enum zr_sched_task_state
 * @preempt_count: number of times it was preempted
 * @replayed_delays: number of its replayed ends that a backoff delay follows
 */
struct zr_sched_task_entry {
	zr_handle placement;
	uint32_t attempt;
	uint8_t state;
	uint8_t preempt_count;
	uint8_t replayed_delays;
};

/**
 * struct zr_sched_job - a job
 * @id: the job's id
 * @profile: usage and run times of jobs of its team and name
 * @queue: name of its queue
 * @task_entries: states of its tasks; NULL while all wait for their first start
 * @class: its class while it is queued, else NULL
 * @tasks_per_rack: for a service, number of running tasks by rack index
 * @rack_count: length of @tasks_per_rack
 * @tasks: number of tasks
 * @running: number of tasks that have a placement
 * @ended: number of tasks that have succeeded
 * @abandoned: number of tasks that must not be started again; any of them
 *	fails the job
 * @first_waiting: no task with a lower index waits
 * @backoff_attempt: attempt of the member by whose end the current run of the
 *	gang has caused a backoff delay; 0: none has
 * @claim_count: number of claims for its tasks
 * @size: declared resources of one task
 * @run_ms: declared run time of one task in milliseconds, 0 when unknown
 * @deadline_ms: wall-clock time to finish by, in milliseconds since the epoch;
 *	0 for none
 * @arrival: sequence number of its arrival
 * @latest_start: time by which it must start to meet its deadline, rounded
 *	down; INT64_MAX without a deadline
 * @retry_at: end of its backoff delay
 * @reason: why it is in @state
 * @effective_priority: its priority (@worth) plus that of its queue
 * @next: next job on @list
 * @previous: previous job on @list
 * @failed_on: workers on which its tasks failed; of a gang, one for each run
 * @failed_on_count: number of entries of @failed_on
 * @consecutive_failures: number of failed tasks, or of failed runs of a gang,
 *	since the last success
 * @backoff_level: level of its latest backoff delay; 0 for no delay
 * @backoff_list: index of its backoff list, when @list is
 *	ZR_SCHED_LIST_BACKOFF
 * @worth: its own priority, higher first
 * @kind: enum zr_job_kind
 * @state: enum zr_job_state
 * @list: enum zr_sched_list
 * @wait: enum zr_sched_wait; while the job is queued in a blocked class,
 *	&struct zr_sched_class.blocked applies instead
 * @urgent: may preempt tasks of lower priority
 * @at_most_once: a task that may have started is never started again
 * @cancelled: was cancelled; none of its tasks may start
 * @held: none of its tasks may start until zr_sched_job_hold() ends the hold
 * @reserving: it is the gang that &struct zr_sched.reservation is for
 * @run_failed: the current run of the gang is in @consecutive_failures
 */
struct zr_sched_job {
	char *id;
	struct zr_sched_profile *profile;
	struct zr_sched_name *queue;
	struct zr_sched_task_entry *task_entries;
	struct zr_sched_class *class;
	uint16_t *tasks_per_rack;
	uint32_t rack_count;
	uint32_t tasks;
	uint32_t running;
	uint32_t ended;
	uint32_t abandoned;
	uint32_t first_waiting;
	uint32_t backoff_attempt;
	uint32_t claim_count;
	struct zr_resources size;
	uint64_t run_ms;
	int64_t deadline_ms;
	uint64_t arrival;
	int64_t latest_start;
	int64_t retry_at;
	const char *reason;
	uint32_t effective_priority;
	zr_handle next;
	zr_handle previous;
	zr_handle failed_on[ZR_SCHED_FAILED_ON_MAX];
	uint8_t failed_on_count;
	uint8_t consecutive_failures;
	uint8_t backoff_level;
	uint8_t backoff_list;
	uint8_t worth;
	uint8_t kind;
	uint8_t state;
	uint8_t list;
	uint8_t wait;
	bool urgent:1;
	bool at_most_once:1;
	bool cancelled:1;
	bool held:1;
	bool reserving:1;
	bool run_failed:1;
};

/**
 * struct zr_sched_placement - a task that has resources reserved on a worker
 * @job: the task's job
 * @index: index of the task in its job
 * @worker: the worker
 * @next: next placement on the same worker
 * @previous: previous placement on the same worker
 * @next_stop: next placement on the list of sent or queued stops, see stop.c
 * @previous_stop: previous placement on that list
 * @initial_reserved: resources reserved when the task started; while the task
 *	has not reported, raised to the lowest usage that tasks of its profile
 *	have reported
 * @reserved: resources reserved now
 * @peak: per resource, the highest reported usage
 * @started_at: when it was started or adopted
 * @reported_at: when the usage of the latest report was measured
 * @stop_resend_at: when its stop is sent again
 * @throttled_at: when a throttle was sent, 0 for never
 * @millicpus: processor usage in the latest report
 * @migrate_to: worker that holds resources for the task's next run, as its own
 *	worker is leaving; else ZR_HANDLE_NONE
 * @migrate_size: resources held on @migrate_to
 * @stop_queued: its stop waits until its worker has fewer unfinished stops
 * @stop_sent: its stop was sent and it has not ended
 * @backfill: it runs on resources that are held for a gang
 * @reported: its usage was reported at least once
 * @probe: it was started to test a suspect worker
 */
struct zr_sched_placement {
	zr_handle job;
	uint32_t index;
	zr_handle worker;
	zr_handle next;
	zr_handle previous;
	zr_handle next_stop;
	zr_handle previous_stop;
	struct zr_resources initial_reserved;
	struct zr_resources reserved;
	struct zr_resources peak;
	int64_t started_at;
	int64_t reported_at;
	int64_t stop_resend_at;
	int64_t throttled_at;
	uint32_t millicpus;
	zr_handle migrate_to;
	struct zr_resources migrate_size;
	bool stop_queued:1;
	bool stop_sent:1;
	bool backfill:1;
	bool reported:1;
	bool probe:1;
};

/**
 * struct zr_sched_worker_entry - the core's record of a worker
 * @name: interned name of the worker
 * @rack: handle of its rack
 * @state: whether it may get tasks
 * @capacity: its total resources
 * @reserved: sum of what its placements have reserved; may exceed @capacity
 * @held: resources held for claims, for members of a gang and for tasks that
 *	migrate to it
 * @tasks: number of placements
 * @first_placement: head of the list of its placements
 * @rack_next: next worker of the rack
 * @rack_previous: previous worker of the rack
 * @bucket: number of its bucket in the index, -1 for none; see index.c
 * @next: next worker of the bucket
 * @previous: previous worker of the bucket
 * @unfinished_stops: number of stops that were sent and whose tasks have not
 *	ended
 * @stop_head: head of the list of stops that wait to be sent
 * @stop_tail: tail of that list
 * @failed_jobs: jobs that failed on it since a task last succeeded
 * @failed_job_count: number of entries of @failed_jobs
 * @suspect: several jobs failed on it in a row, so it gets no tasks except
 *	probes
 * @probing: a probe is running
 * @removing: it is being removed; no stops are sent to it
 * @in_freed_list: it is on the list of workers with newly freed resources
 * @next_freed: next worker on that list
 * @next_probe_at: when it may get its next probe, if suspect
 * @probe_interval_ms: interval between probes
 */
struct zr_sched_worker_entry {
	struct zr_sched_name *name;
	zr_handle rack;
	enum zr_sched_worker_state state;
	struct zr_resources capacity;
	struct zr_resources reserved;
	struct zr_resources held;
	uint32_t tasks;
	zr_handle first_placement;
	zr_handle rack_next;
	zr_handle rack_previous;
	int32_t bucket;
	zr_handle next;
	zr_handle previous;
	uint32_t unfinished_stops;
	zr_handle stop_head;
	zr_handle stop_tail;
	zr_handle failed_jobs[ZR_SCHED_SUSPECT_FAILURES];
	uint8_t failed_job_count;
	bool suspect;
	bool probing;
	bool removing;
	bool in_freed_list;
	zr_handle next_freed;
	int64_t next_probe_at;
	int64_t probe_interval_ms;
};

/**
 * struct zr_sched_rack - a rack
 * @name: interned name of the rack
 * @first_worker: head of the list of its workers
 */
struct zr_sched_rack {
	struct zr_sched_name *name;
	zr_handle first_worker;
};

/**
 * struct zr_sched_team - a team
 * @name: interned name of the team
 * @limit: upper limit across all failure domains; a zero member: no limit
 * @allotment: the part of @limit that this failure domain may use; a zero
 *	member: no limit
 * @used: sum of what its placements have reserved
 * @running: number of its placements
 * @share: its configured weight
 * @dominant_share: its largest share of any resource of the failure domain, in
 *	parts per billion; accelerators count only while they are scarce
 * @classes: classes of its queued jobs
 * @class_count: number of entries of @classes
 * @class_alloc: allocated length of @classes
 * @best: the first of its classes by the policy that is not blocked, or NULL;
 *	valid unless @best_stale
 * @best_stale: @best has to be chosen again
 * @preempt_count: number of its tasks preempted since
 *	@preempt_window_started_at
 * @preempt_window_started_at: start of the window of its preemption budget
 */
struct zr_sched_team {
	struct zr_sched_name *name;
	struct zr_resources limit;
	struct zr_resources allotment;
	struct zr_resources used;
	uint32_t running;
	uint32_t share;
	uint64_t dominant_share;
	struct zr_sched_class **classes;
	uint32_t class_count;
	uint32_t class_alloc;
	struct zr_sched_class *best;
	bool best_stale;
	uint32_t preempt_count;
	int64_t preempt_window_started_at;
};

/**
 * struct zr_sched_job_list - a list of jobs linked by handles
 * @latest_start: in a class, latest start of all jobs on the list
 * @effective_priority: in a class, priority of all jobs on the list
 * @count: number of jobs
 * @head: first job
 * @tail: last job
 */
struct zr_sched_job_list {
	int64_t latest_start;
	uint32_t effective_priority;
	uint32_t count;
	zr_handle head;
	zr_handle tail;
};

/**
 * struct zr_sched_class_key - what the jobs of a class have in common
 * @team: their team
 * @accelerators: accelerators of one task
 * @priority_band: for jobs with a deadline, number of their priority band, from
 *	1; 0 for jobs without one
 * @urgent: whether they are urgent
 * @kind: enum zr_job_kind
 * @cpu_log2: number of significant bits of the millicpus of one task
 * @memory_log2: number of significant bits of the MiB of one task
 * @unused: zero, since the key is hashed and compared as bytes
 */
struct zr_sched_class_key {
	zr_handle team;
	uint32_t accelerators;
	uint8_t priority_band;
	uint8_t urgent;
	uint8_t kind;
	uint8_t cpu_log2;
	uint8_t memory_log2;
	uint8_t unused[3];
};

/**
 * struct zr_sched_class - queued jobs of one team, kind and similar size
 * @hh: hash table linkage, by @key
 * @key: what the jobs have in common
 * @position: index in the team's classes
 * @job_count: number of jobs
 * @lists: the jobs, by latest start, then by priority
 * @list_count: number of entries of @lists
 * @list_alloc: allocated length of @lists
 * @blocked: why no job of it is tried, or ZR_SCHED_WAIT_NONE
 * @min_refused: per resource, the lowest need of the refused jobs; a worker
 *	that has less than this free does not cause the class to be tried again
 * @last_tried_round: value of &struct zr_sched.freed_round when it was last
 *	tried for the worker at the head of the freed list
 */
struct zr_sched_class {
	UT_hash_handle hh;
	struct zr_sched_class_key key;
	uint32_t position;
	uint32_t job_count;
	struct zr_sched_job_list *lists;
	uint32_t list_count;
	uint32_t list_alloc;
	enum zr_sched_wait blocked;
	struct zr_resources min_refused;
	uint64_t last_tried_round;
};

/**
 * struct zr_sched_order_key - what a policy compares: the first job of a class
 * @class: the class
 * @urgent: whether the job is urgent
 * @effective_priority: priority of the job plus that of its queue
 * @latest_start: latest start that meets the deadline, or INT64_MAX
 * @slack_ms: time left until @latest_start, or INT64_MAX
 * @weighted_share: the team's dominant share divided by its weight
 * @under_share: whether the team uses less than its fair share
 * @arrival: sequence number of the job's arrival
 */
struct zr_sched_order_key {
	struct zr_sched_class *class;
	bool urgent;
	uint32_t effective_priority;
	int64_t latest_start;
	int64_t slack_ms;
	uint64_t weighted_share;
	bool under_share;
	uint64_t arrival;
};

/**
 * struct zr_sched_policy - the order in which queued jobs are tried
 * @compare: returns a negative number when @a goes before @b
 * @ctx: first argument of @compare
 */
struct zr_sched_policy {
	int (*compare)(void *ctx, const struct zr_sched_order_key *a,
		       const struct zr_sched_order_key *b);
	void *ctx;
};

/**
 * struct zr_sched_claim - resources held on a worker for one waiting task
 * @job: the task's job: an urgent one that preempts, or a service of which a
 *	replica migrates
 * @worker: the worker
 * @size: the resources held
 * @expires_at: when the claim is dropped
 * @reason: reason given with the start decision
 */
struct zr_sched_claim {
	zr_handle job;
	zr_handle worker;
	struct zr_resources size;
	int64_t expires_at;
	const char *reason;
};

/**
 * struct zr_sched_gang_reservation - resources held for a gang, all of whose
 * tasks must start together
 * @job: the gang, ZR_HANDLE_NONE when there is no reservation
 * @size: the resources held for each task
 * @members: for each task, the worker on which @size is held
 * @count: number of entries of @members
 * @cursor: member at which the last search for backfill ended
 * @ready_at: when all the resources are expected to be free
 * @expires_at: when the reservation is dropped
 */
struct zr_sched_gang_reservation {
	zr_handle job;
	struct zr_resources size;
	zr_handle *members;
	uint32_t count;
	uint32_t cursor;
	int64_t ready_at;
	int64_t expires_at;
};

/**
 * struct zr_sched_shape - workers of the same capacity
 * @capacity: total resources of each
 * @worker_count: number of such workers
 */
struct zr_sched_shape {
	struct zr_resources capacity;
	uint32_t worker_count;
};

/**
 * struct zr_sched_index - workers by free resources
 * @heads: first worker of each bucket, by accelerator group, processor level
 *	and memory level
 * @cpu_levels: by group, bitmap of the processor levels that have workers
 * @memory_levels: by group and processor level, bitmap of the memory levels
 *	that have workers
 */
struct zr_sched_index {
	zr_handle heads[ZR_SCHED_ACCELERATOR_GROUPS][ZR_SCHED_INDEX_LEVELS]
		       [ZR_SCHED_INDEX_LEVELS];
	uint64_t cpu_levels[ZR_SCHED_ACCELERATOR_GROUPS];
	uint64_t memory_levels[ZR_SCHED_ACCELERATOR_GROUPS]
			      [ZR_SCHED_INDEX_LEVELS];
};

/**
 * struct zr_sched - a scheduler core
 * @clock: source of the time
 * @sink: receives the decisions
 * @config: applied configuration, NULL before the first
 * @policy: order of queued jobs
 * @jobs: table of &struct zr_sched_job
 * @workers: table of &struct zr_sched_worker_entry
 * @teams: table of &struct zr_sched_team
 * @racks: table of &struct zr_sched_rack
 * @placements: table of &struct zr_sched_placement
 * @names: interned strings
 * @profiles: profiles by team and job name
 * @classes: classes by key
 * @index: workers by free resources
 * @shapes: numbers of workers by capacity
 * @shape_count: number of entries of @shapes
 * @total_capacity: sum of the workers' capacities; saturates
 * @total_share: sum of the teams' weights
 * @accelerators_in_use: sum of reserved accelerators
 * @accelerators_scarce: nearly all accelerators are in use
 * @parked: parked jobs
 * @backoff_lists: delayed jobs by backoff level
 * @parked_to_recheck: number of parked jobs still to be examined again
 * @stop_head: head of the list of stops that were sent
 * @stop_tail: tail of that list
 * @freed_head: head of the list of workers with newly freed resources
 * @freed_tail: tail of that list
 * @freed_round: incremented when @freed_head changes
 * @claims: the claims, NULL before the first
 * @claim_count: number of claims
 * @reservation: the gang reservation; at most one at a time
 * @preempt_cursor: worker at which the last search for victims ended
 * @leaving_count: number of workers in state ZR_SCHED_WORKER_LEAVING
 * @drain_cursor: worker at which the last scan of leaving workers ended
 * @drain_scan_at: when leaving workers are scanned next
 * @probe_worker: a suspect worker whose probe is due, or ZR_HANDLE_NONE
 * @suspect_count: number of suspect workers
 * @next_arrival: sequence number of the next job
 * @now: time of the current event
 * @ordered_at: when the best classes of all teams were last marked stale
 * @urgent_retry_at: when urgent jobs that found no victims are tried again
 * @probe_scan_at: when suspect workers are scanned next
 * @has_more: the last zr_sched_decide() reached a bound and left work undone
 * @gang_deferred: a gang has more tasks than the last zr_sched_decide() could
 *	still start
 * @spec: buffer in which a job's specification is rebuilt for callers
 * @stats: counters
 */
struct zr_sched {
	const struct zr_clock *clock;
	struct zr_sched_sink sink;
	const struct zr_config *config;
	struct zr_sched_policy policy;
	struct zr_table *jobs;
	struct zr_table *workers;
	struct zr_table *teams;
	struct zr_table *racks;
	struct zr_table *placements;
	struct zr_sched_name *names;
	struct zr_sched_profile *profiles;
	struct zr_sched_class *classes;
	struct zr_sched_index *index;
	struct zr_sched_shape shapes[ZR_SCHED_SHAPES_MAX];
	uint32_t shape_count;
	struct zr_resources total_capacity;
	uint64_t total_share;
	uint32_t accelerators_in_use;
	bool accelerators_scarce;
	struct zr_sched_job_list parked;
	struct zr_sched_job_list backoff_lists[ZR_SCHED_BACKOFF_LEVELS];
	uint32_t parked_to_recheck;
	zr_handle stop_head;
	zr_handle stop_tail;
	zr_handle freed_head;
	zr_handle freed_tail;
	uint64_t freed_round;
	struct zr_sched_claim *claims;
	uint32_t claim_count;
	struct zr_sched_gang_reservation reservation;
	zr_handle preempt_cursor;
	uint32_t leaving_count;
	zr_handle drain_cursor;
	int64_t drain_scan_at;
	zr_handle probe_worker;
	uint32_t suspect_count;
	uint64_t next_arrival;
	int64_t now;
	int64_t ordered_at;
	int64_t urgent_retry_at;
	int64_t probe_scan_at;
	bool has_more;
	bool gang_deferred;
	struct zr_job_spec spec;
	struct zr_sched_stats stats;
};

/**
 * struct zr_sched_forecast_entry - resources that become free on a worker
 * @at: when; INT64_MAX when unknown
 * @worker: the worker
 * @resources: what a running task gives back at its expected end; unused for
 *	a member of a gang
 */
struct zr_sched_forecast_entry {
	int64_t at;
	zr_handle worker;
	struct zr_resources resources;
};

/**
 * struct zr_sched_forecast - where members of a gang can start, soonest first
 * @members: worker and time for each member
 * @count: number of entries of @members
 * @alloc: allocated length of @members
 */
struct zr_sched_forecast {
	struct zr_sched_forecast_entry *members;
	uint32_t count;
	uint32_t alloc;
};

#endif

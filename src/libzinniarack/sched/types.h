#ifndef SCHED_ROWS_H
#define SCHED_ROWS_H

#include <uthash.h>

#include "zinniarack/errors.h"
#include "zinniarack/sched.h"

/**
 * DOC: Rows of the scheduler core
 *
 * Jobs, workers, teams, racks and running tasks are rows of handle tables and
 * are linked by handles, as rows move when a table grows.
 */

/** Jobs and workers that one zr_sched_decide() may examine. */
#define ZR_SCHED_WORK_MAX 8192
/** A job whose tasks failed on so many different workers is given up. */
#define ZR_SCHED_FAILED_ON_MAX 3
/** A job whose tasks failed this often since one succeeded is given up. */
#define ZR_SCHED_FAILURES_MAX 6
/** Different jobs that must fail in a row to make a worker suspect. */
#define ZR_SCHED_SUSPECT_FAILURES 4
/** Lists of jobs whose next try is delayed; each delay is twice the last. */
#define ZR_SCHED_DELAYS 7
/** The shortest of these delays, in milliseconds. */
#define ZR_SCHED_DELAY_MS 1000
/** Time to checkpoint before a task is stopped, and between stop decisions. */
#define ZR_SCHED_STOP_GRACE_MS 1500
/** Levels of free processors and of free memory in the index. */
#define ZR_SCHED_LEVELS 64
/** Groups of workers by their free accelerators. */
#define ZR_SCHED_GROUPS 5
/** Kinds of worker by capacity that are told apart. */
#define ZR_SCHED_SHAPES_MAX 64
/** Buckets of a learned quantile. */
#define ZR_SCHED_QUANTILE_BUCKETS 112

/**
 * struct zr_sched_name - an interned string
 */
struct zr_sched_name {
	UT_hash_handle hh;
	uint32_t refs;
	char text[];
};

/**
 * struct zr_sched_quantile - counts of a quantity by logarithmic bucket
 */
struct zr_sched_quantile {
	uint16_t counts[ZR_SCHED_QUANTILE_BUCKETS];
	uint32_t total;
};

/**
 * struct zr_sched_profile - what was learned of a team's jobs of one name
 * @key: team and name, the hash key
 * @name: the job name within @key
 * @team: the team
 * @refs: jobs that use it
 * @millicpus: peaks of processor use of runs that succeeded
 * @run_ms: run times of runs that succeeded
 * @learned_millicpus: upper quantile of @millicpus, 0 before enough runs
 * @learned_run_ms: the same of @run_ms
 * @memory_mb: the highest memory use of any run
 * @least: the least that was reported of any task
 * @reporters: tasks of which there was a report
 */
struct zr_sched_profile {
	UT_hash_handle hh;
	zr_handle team;
	uint32_t refs;
	uint32_t memory_mb;
	struct zr_resources least;
	uint32_t reporters;
	struct zr_sched_quantile millicpus;
	struct zr_sched_quantile run_ms;
	uint32_t learned_millicpus;
	int64_t learned_run_ms;
	const char *name;
	char key[];
};

struct zr_sched_class;

/**
 * enum zr_sched_place - on which list a job is
 */
enum zr_sched_place {
	ZR_SCHED_PLACE_NONE,
	ZR_SCHED_PLACE_QUEUE,
	ZR_SCHED_PLACE_PARKED,
	ZR_SCHED_PLACE_DELAYED,
};

/**
 * struct zr_sched_slot - a task of a job that has begun to run tasks
 */
struct zr_sched_slot {
	zr_handle placement;
	uint32_t attempt;
	uint8_t state;
	uint8_t preempted;
};

/**
 * struct zr_sched_job - a job
 * @slots: its tasks; NULL until one of them is placed
 * @first_waiting: no task before this one waits
 * @claims: claims made for its tasks
 * @failed_on: workers on which its tasks failed
 * @rack_tasks: for a service, its tasks by rack index
 * @delay: how often its next try was delayed in a row
 * @delay_list: the list it is on when delayed
 * @place: which list @next and @previous link
 * @start_by: latest time to start, rounded down, for the queue
 * @rank: its worth and that of its queue
 */
struct zr_sched_job {
	char *id;
	struct zr_sched_profile *profile;
	struct zr_sched_name *queue;
	struct zr_sched_slot *slots;
	struct zr_sched_class *class;
	uint16_t *rack_tasks;
	uint32_t rack_count;
	uint32_t tasks;
	uint32_t running;
	uint32_t ended;
	uint32_t given_up;
	uint32_t first_waiting;
	uint32_t claims;
	struct zr_resources size;
	uint64_t run_ms;
	int64_t deadline_ms;
	uint64_t arrival;
	int64_t start_by;
	int64_t not_before;
	const char *reason;
	uint32_t rank;
	zr_handle next;
	zr_handle previous;
	zr_handle failed_on[ZR_SCHED_FAILED_ON_MAX];
	uint8_t failed_on_count;
	uint8_t failures;
	uint8_t delay;
	uint8_t delay_list;
	uint8_t worth;
	uint8_t kind;
	uint8_t state;
	uint8_t place;
	uint8_t wait;
	bool urgent:1;
	bool at_most_once:1;
	bool cancelled:1;
	bool held:1;
	bool reserving:1;
};

/**
 * struct zr_sched_placement - a task on a worker
 * @next: next on the same worker
 * @base: reserved at its start
 * @reserved: reserved now
 * @peak: the most that was reported
 * @millicpus: processor use in the latest report
 * @next_stop: next on the list of stops, see stop.c
 * @stop_at: when its stop falls due again
 * @moves_to: worker that holds room for it since its own one leaves
 * @moves_with: how much
 */
struct zr_sched_placement {
	zr_handle job;
	uint32_t index;
	zr_handle worker;
	zr_handle next;
	zr_handle previous;
	zr_handle next_stop;
	zr_handle previous_stop;
	struct zr_resources base;
	struct zr_resources reserved;
	struct zr_resources peak;
	int64_t started_ms;
	int64_t seen_ms;
	int64_t stop_at;
	int64_t throttled_ms;
	uint32_t millicpus;
	zr_handle moves_to;
	struct zr_resources moves_with;
	bool stop_waits:1;
	bool told_to_stop:1;
	bool backfill:1;
	bool reported:1;
	bool probe:1;
};

/**
 * struct zr_sched_host - a worker
 * @held: room kept for claims and gangs
 * @cell: where it is in the index, see index.c
 * @stops: stop decisions whose tasks have not ended
 * @stop_head: stops that wait their turn
 * @freed: whether it is on the list of workers with freed room
 * @failed: jobs that failed on it since one succeeded
 * @probe_at: when a suspect worker may get its next probe
 */
struct zr_sched_host {
	struct zr_sched_name *name;
	zr_handle rack;
	enum zr_sched_worker_state state;
	struct zr_resources capacity;
	struct zr_resources reserved;
	struct zr_resources held;
	uint32_t tasks;
	zr_handle first;
	zr_handle rack_next;
	zr_handle rack_previous;
	int32_t cell;
	zr_handle next;
	zr_handle previous;
	uint32_t stops;
	zr_handle stop_head;
	zr_handle stop_tail;
	zr_handle failed[ZR_SCHED_SUSPECT_FAILURES];
	uint8_t failed_count;
	bool suspect;
	bool probing;
	bool gone;
	bool freed;
	zr_handle next_freed;
	int64_t probe_at;
	int64_t probe_delay;
};

/**
 * struct zr_sched_rack - a rack
 */
struct zr_sched_rack {
	struct zr_sched_name *name;
	zr_handle first;
};

/**
 * struct zr_sched_team - a team
 * @limit: its upper limit across the fleet
 * @allotment: how much of that holds here
 * @share: weight of its share
 * @dominant: its dominant share of the cell, in parts per billion
 * @classes: its waiting work
 * @best: the class to try next, when not @stale
 * @preempted: its tasks preempted since @preempted_from
 */
struct zr_sched_team {
	struct zr_sched_name *name;
	struct zr_resources limit;
	struct zr_resources allotment;
	struct zr_resources used;
	uint32_t running;
	uint32_t share;
	uint64_t dominant;
	struct zr_sched_class **classes;
	uint32_t class_count;
	uint32_t class_room;
	struct zr_sched_class *best;
	bool stale;
	uint32_t preempted;
	int64_t preempted_from;
};

/**
 * struct zr_sched_lane - jobs of a class with the same latest start and worth
 */
struct zr_sched_lane {
	int64_t start_by;
	uint32_t rank;
	uint32_t count;
	zr_handle head;
	zr_handle tail;
};

/**
 * struct zr_sched_class_key - what jobs of one class have in common
 * @worth_band: for jobs with a deadline, 1 and more by their worth; else 0
 * @cpu_octave: binary logarithm of the processors asked for
 * @memory_octave: the same of the memory
 */
struct zr_sched_class_key {
	zr_handle team;
	uint32_t accelerators;
	uint8_t worth_band;
	uint8_t urgent;
	uint8_t kind;
	uint8_t cpu_octave;
	uint8_t memory_octave;
	uint8_t unused[3]; /* the key is hashed and compared as bytes */
};

/**
 * struct zr_sched_class - waiting jobs that are tried alike
 * @position: index in the team's classes
 * @blocked: why it is not to be tried now, or ZR_SCHED_WAIT_NONE
 * @refused: the least that was refused; less free room is no reason to try
 * @round: the last look at a freed worker in which it was tried
 */
struct zr_sched_class {
	UT_hash_handle hh;
	struct zr_sched_class_key key;
	uint32_t position;
	uint32_t jobs;
	struct zr_sched_lane *lanes;
	uint32_t lane_count;
	uint32_t lane_room;
	enum zr_sched_wait blocked;
	struct zr_resources refused;
	uint64_t round;
};

/**
 * struct zr_sched_candidate - work that a policy orders
 * @rank: worth of the work and of its queue
 * @start_by: latest time to start so as to meet the deadline, or INT64_MAX
 * @slack_ms: time left until then
 * @weighted: the team's dominant share over the weight of its share
 * @under_share: whether the team has less than its share
 * @arrival: number of its arrival
 */
struct zr_sched_candidate {
	struct zr_sched_class *class;
	bool urgent;
	uint32_t rank;
	int64_t start_by;
	int64_t slack_ms;
	uint64_t weighted;
	bool under_share;
	uint64_t arrival;
};

/**
 * struct zr_sched_policy - an order of worth
 * @compare: negative when @a goes first
 * @ctx: passed to it
 */
struct zr_sched_policy {
	int (*compare)(void *ctx, const struct zr_sched_candidate *a,
		       const struct zr_sched_candidate *b);
	void *ctx;
};

/**
 * struct zr_sched_claim - room kept on a worker for one task, of an urgent job
 * or of a service that moves
 * @reason: why it starts there
 */
struct zr_sched_claim {
	zr_handle job;
	zr_handle worker;
	struct zr_resources size;
	int64_t until;
	const char *reason;
};

/**
 * struct zr_sched_reservation - room being kept for a gang
 * @members: for each member, the worker on which room is held
 * @ready_by: when room for all is expected
 * @until: when it is given up
 */
struct zr_sched_reservation {
	zr_handle job;
	struct zr_resources size;
	zr_handle *members;
	uint32_t count;
	uint32_t cursor;
	int64_t ready_by;
	int64_t until;
};

/**
 * struct zr_sched_shape - workers of one capacity
 */
struct zr_sched_shape {
	struct zr_resources capacity;
	uint32_t workers;
};

/**
 * struct zr_sched_index - workers by free room
 * @heads: first worker of each cell
 * @rows: by group, which processor levels have workers
 * @columns: by group and processor level, which memory levels have workers
 */
struct zr_sched_index {
	zr_handle heads[ZR_SCHED_GROUPS][ZR_SCHED_LEVELS][ZR_SCHED_LEVELS];
	uint64_t rows[ZR_SCHED_GROUPS];
	uint64_t columns[ZR_SCHED_GROUPS][ZR_SCHED_LEVELS];
};

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
	struct zr_resources total; /* saturates */
	uint64_t total_share;
	uint32_t accelerators; /* in use */
	bool accelerators_short;
	struct zr_sched_lane parked;
	struct zr_sched_lane delayed[ZR_SCHED_DELAYS];
	uint32_t parked_to_review;
	zr_handle stop_head;
	zr_handle stop_tail;
	zr_handle freed_head;
	zr_handle freed_tail;
	uint64_t round;
	struct zr_sched_claim *claims;
	uint32_t claim_count;
	struct zr_sched_reservation gang;
	zr_handle preempt_cursor;
	uint32_t leaving; /* workers in this state */
	zr_handle drain_cursor;
	int64_t drain_at;	/* when leaving workers are looked at again */
	zr_handle probe_worker; /* whose probe is due */
	uint32_t suspects;
	uint64_t arrivals;
	int64_t now;
	int64_t ordered_at;
	int64_t urgent_at; /* when urgent work is tried again */
	int64_t probe_at;  /* when suspect workers are looked at again */
	bool more;
	bool gang_waits;	 /* for a decide that may start all of it */
	struct zr_job_spec spec; /* rebuilt for the sink and for readers */
	struct zr_sched_stats stats;
};

/**
 * struct zr_sched_foreseen - an expected end of a task, or room for a member
 */
struct zr_sched_foreseen {
	int64_t at;
	zr_handle worker;
	struct zr_resources room;
};

/**
 * struct zr_sched_forecast - where members of a gang can start, soonest first
 * @room: length of the array
 */
struct zr_sched_forecast {
	struct zr_sched_foreseen *members;
	uint32_t count;
	uint32_t room;
};

#endif

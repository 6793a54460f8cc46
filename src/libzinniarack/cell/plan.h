#ifndef ZR_CELL_PLAN_H
#define ZR_CELL_PLAN_H

#include <string.h>

#include "cell/private.h"

/**
 * DOC: Planning pass over the ready steps
 *
 * A pass takes the ready steps in order of rank and places as many of their
 * waiting tasks on workers as it can. It plans with the free resources that
 * the workers had when the pass began, minus what the pass itself has placed.
 *
 * A gang is a step whose tasks, its members, must all run at the same time. A
 * slot is capacity on a worker for one task of the step that is being placed.
 *
 * plan.c runs the pass; priority.c ranks the jobs; candidates.c collects the
 * candidate workers and chooses among them; gang.c reserves capacity for gangs,
 * and lasting.c for long-running tasks; reservation.c bounds how long they may;
 * preempt.c computes what stops and
 * preemption would free; adviser_query.c queries the placement adviser and
 * permissions.c stores its answers; speeds.c computes the order of workers by
 * expected finish and moves.c moves slow runs; isolation.c finds workers for
 * tasks that may crash them; domains.c detects failure domains that do not
 * respond; slowdown.c detects slow workers and stalled runs; unanswered.c
 * detects workers that leave starts without an answer.
 */

/**
 * struct zr_cell_candidate - a worker that accepts tasks in this pass
 * @worker: the worker
 * @free: free resources, not counting tasks placed in this pass
 * @reserved: part of @free, or of what becomes free, that is reserved for gangs
 *            in this pass
 * @free_after_stops: free resources once the stops already sent take effect
 * @free_after_preemption: the same once all tasks that @preemption_class can
 *                         preempt have been stopped too
 * @preemption_class: class for which the previous two members were computed;
 *                    -1: they are not valid
 * @lasting: resources of runs that do not end by themselves
 * @staying: resources of runs that do not end within
 *           ZR_CELL_RESERVATION_MAX_MS, as far as can be expected
 * @staying_known: the previous two members have been computed in this pass
 * @slow: runs take much longer here than on other workers
 * @gang_reserved: a gang or a long-running task has reserved capacity here in
 * an earlier pass
 * @lasting_reserved: a long-running task has done so in this pass
 * @speed_band: band of its speed, see policy/worker_speed.h
 * @order: how it suits the step that is being placed, by where that finishes;
 *         the lowest is the best
 * @shortfall: number of bands by which it is too slow for that step
 */
struct zr_cell_candidate {
	struct zr_cell_worker *worker;
	struct zr_resources free;
	struct zr_resources reserved;
	struct zr_resources free_after_stops;
	struct zr_resources free_after_preemption;
	int64_t preemption_class;
	struct zr_resources lasting;
	struct zr_resources staying;
	bool staying_known;
	bool slow;
	bool gang_reserved;
	bool lasting_reserved;
	int speed_band;
	int order;
	int shortfall;
};

/**
 * struct zr_cell_eligible - a candidate on which the step may be placed
 * @candidate: the worker
 * @permission: the adviser's permission; NULL if the queue needs none
 */
struct zr_cell_eligible {
	struct zr_cell_candidate *candidate;
	const struct zr_cell_permission *permission;
};

/**
 * struct zr_cell_plan - state of one planning pass
 * @scheduler: the scheduler
 * @now: start of the pass, in milliseconds
 * @candidates: workers that accept tasks
 * @candidate_count: number of candidates
 * @waiting_gangs_millicpus: processors reserved for gangs that wait for running
 *                           tasks to end
 * @draining_count: number of workers that are drained for suspects
 * @capacity_millicpus: processors of all candidates, free or not
 * @eligible: buffer for &struct zr_cell_plan_item.eligible, large enough for
 *            all candidates
 * @fastest_band: highest @speed_band of the candidates
 */
struct zr_cell_plan {
	struct zr_cell_scheduler *scheduler;
	int64_t now;
	struct zr_cell_candidate *candidates;
	size_t candidate_count;
	uint64_t waiting_gangs_millicpus;
	size_t draining_count;
	uint64_t capacity_millicpus;
	struct zr_cell_eligible *eligible;
	int fastest_band;
};

/**
 * struct zr_cell_plan_item - the step that is being placed
 * @job: its job
 * @step: the step
 * @queue: its queue as configured now; if the queue has been removed, only the
 *         pool is set, to that of the time of acceptance
 * @need: resources that a task reserves on its worker
 * @max_tasks: number of tasks that the client account's limit still allows
 * @eligible: candidates that meet the step's requirements and, if the queue
 *            needs the adviser's permission, have been permitted
 * @eligible_count: number of entries in @eligible
 * @by_speed: workers are chosen by expected finish
 * @needed_band: lowest band of speed on which the step ends in time
 * @wanted_band: the same, for a gang as far as the eligible workers allow
 * @far_bands: number of bands that a worker loses which is far from the data
 */
struct zr_cell_plan_item {
	struct zr_cell_job *job;
	struct zr_cell_step_state *step;
	struct zr_cell_queue queue;
	struct zr_resources need;
	uint32_t max_tasks;
	struct zr_cell_eligible *eligible;
	size_t eligible_count;
	bool by_speed;
	int needed_band;
	int wanted_band;
	int far_bands;
};

/**
 * Time from a stop request until a poll has shown the end of the run, with some
 * margin.
 */
#define ZR_CELL_STOP_MS 450

bool zr_cell_step_is_gang(const struct zr_cell_step_state *step);
/**
 * zr_cell_step_least_tasks() - number of tasks that a step places at once at
 * least
 */
uint32_t zr_cell_step_least_tasks(const struct zr_cell_step_state *step);

/* priority.c */
/**
 * enum zr_cell_tier - tiers of jobs, in the order in which they are placed
 * @ZR_CELL_TIER_ON_TIME: can still end before their objective
 * @ZR_CELL_TIER_LATE: cannot
 * @ZR_CELL_TIER_OVER_SHARE: exceeded the rate of their client account
 * @ZR_CELL_TIER_WORTHLESS: can no longer end before they lose all value
 *
 * A job has its full value until its objective, a fifth of it until three times
 * the objective, and none after that. Jobs that exceed the rate of their client
 * account are not entitled to be on time. A long-running job has no end that
 * could be late.
 */
enum zr_cell_tier {
	ZR_CELL_TIER_ON_TIME,
	ZR_CELL_TIER_LATE,
	ZR_CELL_TIER_OVER_SHARE,
	ZR_CELL_TIER_WORTHLESS,
};

/** zr_cell_priority_tier() - tier of a job */
enum zr_cell_tier zr_cell_priority_tier(const struct zr_cell_job *job,
					int64_t now);
/**
 * zr_cell_priority_rank() - rank of a job's steps; the lowest is placed first
 * @job: the job
 * @past_use_permille: &struct zr_cell_client_state.past_use_permille of its
 *	client account
 * @now: the current time in milliseconds
 *
 * Return: the class of the job, and within a class its time of acceptance plus
 * the delay that the past use of its client account entails.
 */
int64_t zr_cell_priority_rank(const struct zr_cell_job *job,
			      uint32_t past_use_permille, int64_t now);
/**
 * zr_cell_priority_class() - preemption class of a job
 * @job: the job
 * @now: the current time in milliseconds
 *
 * Return: the class; the lowest is the most urgent. A task can be preempted
 * only by steps of lower classes.
 */
int64_t zr_cell_priority_class(const struct zr_cell_job *job, int64_t now);
/**
 * zr_cell_priority_unstarted_ms() - estimated time of the steps of a job that
 * have not started
 * @job: the job
 *
 * A step that has started is not counted, since its progress is not known.
 *
 * Return: the sum over the first occurrence.
 */
int64_t zr_cell_priority_unstarted_ms(const struct zr_cell_job *job);
/**
 * zr_cell_priority_objective_ms() - time objective of a job
 * @job: the job
 *
 * Return: time after acceptance from which the job is late.
 */
int64_t zr_cell_priority_objective_ms(const struct zr_cell_job *job);
/**
 * zr_cell_priority_charge() - take a job from a client account's rate allowance
 * @client: the client account
 * @accepted_at: when the job was accepted, in milliseconds
 *
 * Return: whether the allowance covered the job.
 */
bool zr_cell_priority_charge(struct zr_cell_client_state *client,
			     int64_t accepted_at);
/**
 * zr_cell_priority_balance() - rate allowance minus what exceeded it
 * @client: the client account
 * @now: the current time in milliseconds
 *
 * Return: thousandths of a job; negative after jobs that exceeded the rate.
 */
int64_t zr_cell_priority_balance(const struct zr_cell_client_state *client,
				 int64_t now);

/* candidates.c */
/** zr_cell_candidates_collect() - fill in @plan->candidates */
void zr_cell_candidates_collect(struct zr_cell_plan *plan);
/** zr_cell_worker_accepts_tasks() - whether a worker can be a candidate */
bool zr_cell_worker_accepts_tasks(struct zr_cell_scheduler *scheduler,
				  const struct zr_cell_worker *worker,
				  int64_t now);
/** zr_cell_worker_has_label() - whether a worker has a label; true for "" */
bool zr_cell_worker_has_label(const struct zr_cell_worker *worker,
			      const char *label);
/** zr_cell_candidate_slots() - number of tasks that a worker could start now */
uint32_t zr_cell_candidate_slots(const struct zr_cell_plan_item *item,
				 const struct zr_cell_candidate *candidate);
/**
 * zr_cell_candidate_matches() - whether a worker could run a step when idle
 * @item: the step
 * @candidate: the worker
 *
 * Checks capacity, pool, label and whether the worker is kept for another job,
 * neither free resources nor permissions.
 */
bool zr_cell_candidate_matches(const struct zr_cell_plan_item *item,
			       const struct zr_cell_candidate *candidate);
/** zr_cell_plan_item_set() - fill in a step, without eligible workers */
void zr_cell_plan_item_set(struct zr_cell_plan *plan,
			   struct zr_cell_plan_item *item,
			   struct zr_cell_step_state *step);
/** zr_cell_plan_item_find_eligible() - fill in @item->eligible */
void zr_cell_plan_item_find_eligible(struct zr_cell_plan *plan,
				     struct zr_cell_plan_item *item);
/**
 * zr_cell_eligible_is_valid() - whether a start needs no new ticket
 * @eligible: the worker and its permission
 * @start_at: when the start request would be sent, in milliseconds
 *
 * Return: true if no ticket is needed, or if it is still valid when a start
 * sent at @start_at arrives.
 */
bool zr_cell_eligible_is_valid(const struct zr_cell_eligible *eligible,
			       int64_t start_at);
/**
 * zr_cell_plan_item_slots() - number of tasks that could start now on workers
 * that need no new ticket
 */
uint32_t zr_cell_plan_item_slots(const struct zr_cell_plan *plan,
				 const struct zr_cell_plan_item *item);
/** Maximum length of a list of workers in a log line, including the NUL. */
#define ZR_CELL_NAMES_MAX 200

/**
 * zr_cell_place_missing_members() - place members of a gang that did not start
 * @plan: the pass
 * @item: the gang, whose other members have been sent or placed
 * @names: as for zr_cell_place_tasks()
 *
 * The missing members keep the attempt number of the others, so that they join
 * the run in which the others wait, but on other workers than before.
 *
 * Return: number of members placed.
 */
uint32_t zr_cell_place_missing_members(struct zr_cell_plan *plan,
				       const struct zr_cell_plan_item *item,
				       char names[ZR_CELL_NAMES_MAX]);
/**
 * zr_cell_place_tasks() - place waiting tasks
 * @plan: the pass
 * @item: the step
 * @max_tasks: maximum number of tasks to place
 * @names: filled with the names of the workers, separated by commas; names that
 *         do not fit are left out
 *
 * Return: number of tasks placed.
 */
uint32_t zr_cell_place_tasks(struct zr_cell_plan *plan,
			     const struct zr_cell_plan_item *item,
			     uint32_t max_tasks, char names[ZR_CELL_NAMES_MAX]);
/** zr_cell_fit_count() - how many times @need fits into @have */
uint32_t zr_cell_fit_count(const struct zr_resources *have,
			   const struct zr_resources *need);

/** zr_cell_candidate_free() - free resources that no gang has reserved */
struct zr_resources
zr_cell_candidate_free(const struct zr_cell_candidate *candidate);
/** zr_cell_resources_subtract() - @have minus @used, each at least zero */
struct zr_resources zr_cell_resources_subtract(const struct zr_resources *have,
					       const struct zr_resources *used);

/* preempt.c */
/**
 * zr_cell_candidate_slots_after_stops() - slots once sent stops take effect
 * @plan: the pass
 * @item: the gang
 * @candidate: the worker
 */
uint32_t
zr_cell_candidate_slots_after_stops(struct zr_cell_plan *plan,
				    const struct zr_cell_plan_item *item,
				    struct zr_cell_candidate *candidate);
/**
 * zr_cell_candidate_slots_after_preemption() - slots if tasks are preempted
 * @plan: the pass
 * @item: the gang
 * @candidate: the worker
 *
 * Return: the slots once sent stops have taken effect and all tasks that the
 * gang can preempt there have been stopped too.
 */
uint32_t
zr_cell_candidate_slots_after_preemption(struct zr_cell_plan *plan,
					 const struct zr_cell_plan_item *item,
					 struct zr_cell_candidate *candidate);
/**
 * zr_cell_candidate_slots_when_idle() - slots once all runs that end have ended
 * @plan: the pass
 * @item: the step, of which no task is on the worker
 * @candidate: the worker
 */
uint32_t zr_cell_candidate_slots_when_idle(const struct zr_cell_plan *plan,
					   const struct zr_cell_plan_item *item,
					   struct zr_cell_candidate *candidate);
/**
 * zr_cell_candidate_slots_soon() - slots once runs have ended that are expected
 * to end within ZR_CELL_RESERVATION_MAX_MS; otherwise as
 * zr_cell_candidate_slots_when_idle()
 */
uint32_t zr_cell_candidate_slots_soon(const struct zr_cell_plan *plan,
				      const struct zr_cell_plan_item *item,
				      struct zr_cell_candidate *candidate);
/**
 * zr_cell_candidate_preempt() - stop tasks on a worker until a gang fits
 * @plan: the pass
 * @item: the gang
 * @candidate: the worker
 * @wanted: number of members that have to fit
 */
void zr_cell_candidate_preempt(struct zr_cell_plan *plan,
			       const struct zr_cell_plan_item *item,
			       struct zr_cell_candidate *candidate,
			       uint32_t wanted);

/* gang.c */
/**
 * struct zr_cell_gang_candidate - a worker on which a gang may be placed
 * @eligible: the worker and the adviser's permission
 * @candidate: the worker
 * @slots_after_stops: members that fit once sent stops have taken effect
 * @slots_after_preemption: members that fit once all tasks that the gang can
 *                          preempt have been stopped too
 * @shortfall: number of bands of speed by which it is too slow
 * @already_reserved: the gang has reserved capacity here in an earlier pass
 * @in_gang_domain: it is in the failure domain chosen for the gang
 * @reserved_members: number of members that this pass assigns to it; capacity
 *                    is reserved for them unless a reservation has expired
 */
struct zr_cell_gang_candidate {
	const struct zr_cell_eligible *eligible;
	struct zr_cell_candidate *candidate;
	uint32_t slots_after_stops;
	uint32_t slots_after_preemption;
	int shortfall;
	bool already_reserved;
	bool in_gang_domain;
	uint32_t reserved_members;
};

/**
 * struct zr_cell_gang_capacity - capacity that a gang could get or has reserved
 * @candidates: workers on which it may be placed
 * @count: number of candidates
 * @complete_soon: all that it needs will be free when the adviser has answered
 * @missing_slots: number of slots by which the capacity of its permitted
 *                 workers falls short of what it should have to choose from
 */
struct zr_cell_gang_capacity {
	struct zr_cell_gang_candidate *candidates;
	size_t count;
	bool complete_soon;
	uint32_t missing_slots;
};

/**
 * zr_cell_gang_choose_band() - choose the band of the slowest worker of a gang
 * @plan: the pass
 * @item: the gang; its @wanted_band is set
 * @preempting: count what stops and preemption would free, not what is free
 */
void zr_cell_gang_choose_band(struct zr_cell_plan *plan,
			      struct zr_cell_plan_item *item, bool preempting);
/** zr_cell_in_gang_domain() - whether a worker is in the gang's domain */
bool zr_cell_in_gang_domain(const struct zr_cell_plan_item *item,
			    const struct zr_cell_candidate *candidate);
/**
 * zr_cell_choose_gang_domain() - choose the failure domain for a gang
 * @plan: the pass
 * @item: the gang
 *
 * A gang whose members are all in one domain is not affected when another
 * domain loses its connection.
 */
void zr_cell_choose_gang_domain(struct zr_cell_plan *plan,
				const struct zr_cell_plan_item *item);
/**
 * zr_cell_gang_reserve() - reserve capacity for a gang
 * @out: the capacity; freed with zr_cell_gang_capacity_clear()
 * @plan: the pass
 * @item: the gang
 *
 * Reserves what sent stops will free, if that is enough. Otherwise preempts
 * tasks if the gang has waited long, or else reserves what becomes free as
 * running tasks end. Steps that come later in the pass cannot use what is
 * reserved. A gang that would not fit on its eligible workers within
 * ZR_CELL_RESERVATION_MAX_MS reserves nothing, nor does one whose reservation
 * has expired.
 */
void zr_cell_gang_reserve(struct zr_cell_gang_capacity *out,
			  struct zr_cell_plan *plan,
			  const struct zr_cell_plan_item *item);
void zr_cell_gang_capacity_clear(struct zr_cell_gang_capacity *capacity);

/* isolation.c */
/**
 * zr_cell_isolation_suspects() - number of suspects of a step that wait
 * @item: the step
 */
uint32_t zr_cell_isolation_suspects(const struct zr_cell_plan_item *item);
/**
 * zr_cell_isolation_required() - whether suspects of a step must run apart
 * @plan: the pass
 * @item: the step
 *
 * Return: false once the step has waited too long for a worker of its own.
 */
bool zr_cell_isolation_required(const struct zr_cell_plan *plan,
				const struct zr_cell_plan_item *item);
/** zr_cell_isolation_allows() - whether a suspect may run on a worker */
bool zr_cell_isolation_allows(const struct zr_cell_plan_item *item,
			      const struct zr_cell_worker *worker,
			      bool required);
/** zr_cell_isolation_prefers() - whether @worker has fewer runs of other jobs
 */
bool zr_cell_isolation_prefers(const struct zr_cell_plan_item *item,
			       const struct zr_cell_worker *worker,
			       const struct zr_cell_worker *best);
/**
 * zr_cell_isolation_ready() - whether all suspects of a gang could start now
 * @plan: the pass
 * @item: the gang
 * @suspects: their number
 */
bool zr_cell_isolation_ready(const struct zr_cell_plan *plan,
			     const struct zr_cell_plan_item *item,
			     uint32_t suspects);
/**
 * zr_cell_isolation_wait() - drain a worker for the suspects of a step
 * @plan: the pass
 * @item: the step, some suspects of which could not be placed
 */
void zr_cell_isolation_wait(struct zr_cell_plan *plan,
			    const struct zr_cell_plan_item *item);

/* speeds.c */
/** zr_cell_speed_set_candidate() - set whether a worker is slow, and its band
 */
void zr_cell_speed_set_candidate(struct zr_cell_plan *plan,
				 struct zr_cell_candidate *candidate);
/** zr_cell_speed_set_item() - set what a step needs of its workers' speed */
void zr_cell_speed_set_item(struct zr_cell_plan *plan,
			    struct zr_cell_plan_item *item);
/** zr_cell_speed_place() - where a worker is, relative to the data of a step */
static inline enum zr_speed_place
zr_cell_speed_place(const struct zr_cell_step_state *step,
		    const struct zr_cell_worker *worker)
{
	const char *rack = step->spec->rack;

	return rack[0] && strcmp(rack, worker->report.rack) != 0
		       ? ZR_SPEED_FAR
		       : ZR_SPEED_NEAR;
}

/** zr_cell_speed_item_band() - band of a worker, with its distance to the data
 */
static inline int
zr_cell_speed_item_band(const struct zr_cell_plan_item *item,
			const struct zr_cell_candidate *candidate)
{
	int band = candidate->speed_band;

	if (item->far_bands &&
	    zr_cell_speed_place(item->step, candidate->worker) == ZR_SPEED_FAR)
		band -= item->far_bands;
	return band < ZR_SPEED_BAND_MIN ? ZR_SPEED_BAND_MIN : band;
}

/** zr_cell_speed_set_order() - set @order and @shortfall of a worker */
static inline void zr_cell_speed_set_order(const struct zr_cell_plan_item *item,
					   struct zr_cell_candidate *candidate)
{
	bool far = zr_cell_speed_place(item->step, candidate->worker) ==
		   ZR_SPEED_FAR;
	int band;

	candidate->shortfall = 0;
	candidate->order = far;
	if (!item->by_speed)
		return;
	band = zr_cell_speed_item_band(item, candidate);
	candidate->order = zr_speed_order(band, far, item->wanted_band);
	if (band < item->wanted_band)
		candidate->shortfall = item->wanted_band - band;
}

/* moves.c */
/** zr_cell_moves_plan() - move slow runs that would end sooner elsewhere */
void zr_cell_moves_plan(struct zr_cell_plan *plan);

/* slowdown.c */
/**
 * zr_cell_slowdown_add_run() - record the run time of a successful run
 * @model: the model
 * @worker: the worker that ran it
 * @estimate_ms: the submitter's estimate; 0: the run is ignored
 * @run_ms: its run time
 * @now: the current time in milliseconds
 */
void zr_cell_slowdown_add_run(struct zr_cell_model *model,
			      struct zr_cell_worker *worker,
			      uint32_t estimate_ms, int64_t run_ms,
			      int64_t now);
/**
 * zr_cell_slowdown_add_progress() - record the progress of an active run
 * @model: the model
 * @worker: the worker that runs it
 * @estimate_ms: the submitter's estimate
 * @elapsed_ms: time since its start was confirmed
 * @percent: reported progress
 * @now: the current time in milliseconds
 */
void zr_cell_slowdown_add_progress(struct zr_cell_model *model,
				   struct zr_cell_worker *worker,
				   uint32_t estimate_ms, int64_t elapsed_ms,
				   uint32_t percent, int64_t now);
/**
 * zr_cell_slowdown_is_slow() - whether a worker is much slower than the average
 */
bool zr_cell_slowdown_is_slow(const struct zr_cell_model *model,
			      const struct zr_cell_worker *worker, int64_t now);
/** zr_cell_slowdown_is_stalled() - whether a run has stopped making progress */
bool zr_cell_slowdown_is_stalled(const struct zr_cell_task *task, int64_t now);

/* unanswered.c */
/** zr_cell_unanswered_add_start() - record whether a start was answered */
void zr_cell_unanswered_add_start(struct zr_cell_model *model,
				  struct zr_cell_worker *worker, bool answered);
/**
 * zr_cell_unanswered_is_worse() - whether a worker leaves more starts without
 * an answer than the others do
 */
bool zr_cell_unanswered_is_worse(const struct zr_cell_model *model,
				 const struct zr_cell_worker *worker);
/**
 * zr_cell_unanswered_settle() - count what followed a start without a response
 * @scheduler: the scheduler
 * @job: the job
 * @task: index of the task in the job's tasks
 * @outcome: what followed
 *
 * Called before the end of the run. Does nothing if the start had a response in
 * time or has been counted.
 */
void zr_cell_unanswered_settle(struct zr_cell_scheduler *scheduler,
			       const struct zr_cell_job *job, uint32_t task,
			       enum zr_unanswered_outcome outcome);
/** zr_cell_unanswered_begin_run() - note the placement of a run of a step */
void zr_cell_unanswered_begin_run(struct zr_cell_step_state *step,
				  uint32_t attempt);
/**
 * zr_cell_unanswered_add_answer() - record how long an accepted start took
 * @model: the model
 * @job: the job
 * @task: index of the task in the job's tasks
 * @now: the current time in milliseconds
 */
void zr_cell_unanswered_add_answer(struct zr_cell_model *model,
				   struct zr_cell_job *job, uint32_t task,
				   int64_t now);
/**
 * zr_cell_unanswered_set_uncertain() - note that a start has no response
 *
 * The outcome is what polls show that are sent from now on.
 */
void zr_cell_unanswered_set_uncertain(struct zr_cell_scheduler *scheduler,
				      struct zr_cell_task *task);
/**
 * zr_cell_unanswered_needs_poll() - whether to poll for the outcome of a start
 * @scheduler: the scheduler
 * @worker: the worker of the task's active run
 * @job: the job
 * @task: index of the task in the job's tasks
 *
 * A start whose response is overdue becomes uncertain.
 */
bool zr_cell_unanswered_needs_poll(struct zr_cell_scheduler *scheduler,
				   struct zr_cell_worker *worker,
				   struct zr_cell_job *job, uint32_t task);

/* domains.c */
/**
 * zr_cell_domain_get_or_add() - find a failure domain; add it if it is new
 * @model: the model
 * @name: name of the domain
 *
 * Return: the number, counted from 1; 0 if @name is empty or if there are
 * ZR_CELL_DOMAINS_MAX domains already.
 */
uint32_t zr_cell_domain_get_or_add(struct zr_cell_model *model,
				   const char *name);
/** zr_cell_domain_start_sent() - record that a start was sent to a worker */
void zr_cell_domain_start_sent(struct zr_cell_model *model,
			       const struct zr_cell_worker *worker,
			       int64_t now);
/** zr_cell_domain_responded() - record a response from a worker */
void zr_cell_domain_responded(struct zr_cell_model *model,
			      const struct zr_cell_worker *worker);
/**
 * zr_cell_domain_unresponsive() - whether a worker's domain does not respond
 * @model: the model
 * @worker: a worker of the domain
 * @now: the current time in milliseconds
 *
 * Return: true for a while after a start has gone without a response from any
 * worker of the domain.
 */
bool zr_cell_domain_unresponsive(struct zr_cell_model *model,
				 const struct zr_cell_worker *worker,
				 int64_t now);

/* adviser_query.c */
/** zr_cell_query_adviser() - query the adviser about workers with slots */
void zr_cell_query_adviser(struct zr_cell_plan *plan,
			   const struct zr_cell_plan_item *item);
/**
 * zr_cell_query_adviser_for_gang() - query the adviser about workers for a gang
 * @plan: the pass
 * @item: the gang
 * @capacity: the capacity assigned to it in this pass
 */
void zr_cell_query_adviser_for_gang(
	struct zr_cell_plan *plan, const struct zr_cell_plan_item *item,
	const struct zr_cell_gang_capacity *capacity);

/* permissions.c */
/** zr_cell_permission_find() - the adviser's answer for a worker, or NULL */
const struct zr_cell_permission *
zr_cell_permission_find(const struct zr_cell_step_state *step,
			zr_handle worker);
/**
 * zr_cell_permission_get_or_add() - find the answer for a worker, or add one
 * that permits nothing
 */
struct zr_cell_permission *
zr_cell_permission_get_or_add(struct zr_cell_step_state *step,
			      zr_handle worker);

/** zr_cell_tasks_on() - number of tasks of the step that are on a worker */
uint32_t zr_cell_tasks_on(const struct zr_cell_plan_item *item,
			  zr_handle worker);

/** zr_cell_resources_add() - add an amount to a sum */
void zr_cell_resources_add(struct zr_resources *sum,
			   const struct zr_resources *amount);

/* reservation.c */
/** Time after which a reservation is given up. */
#define ZR_CELL_RESERVATION_MAX_MS 3000
/** zr_cell_reservation_begin_pass() - begin to sum up the use of the pools */
void zr_cell_reservation_begin_pass(struct zr_cell_plan *plan);
/** zr_cell_reservation_add_worker() - add a worker to the use of its pool */
void zr_cell_reservation_add_worker(struct zr_cell_plan *plan,
				    const struct zr_cell_worker *worker);
/**
 * zr_cell_reservation_update_pauses() - pause the reservations in pools of
 * which they leave most unused
 *
 * Called once all workers have been added.
 */
void zr_cell_reservation_update_pauses(struct zr_cell_plan *plan);
/**
 * zr_cell_reservation_renew() - begin or renew the reservation of a step
 * @plan: the pass
 * @item: the step, which waits
 *
 * Return: true if the step may keep capacity from steps that come later in the
 * pass; false if its last reservation has expired, or if reservations have left
 * most of the pool unused.
 */
bool zr_cell_reservation_renew(struct zr_cell_plan *plan,
			       const struct zr_cell_plan_item *item);
/** zr_cell_reservation_end() - end the reservation of a step that was placed */
void zr_cell_reservation_end(struct zr_cell_step_state *step);
/**
 * zr_cell_reservation_keep_worker() - let the next passes choose a worker for a
 * step again
 */
void zr_cell_reservation_keep_worker(const struct zr_cell_plan *plan,
				     const struct zr_cell_plan_item *item,
				     struct zr_cell_worker *worker);
/**
 * zr_cell_reservation_has_worker() - whether a worker is reserved for a step
 * since an earlier pass
 */
bool zr_cell_reservation_has_worker(const struct zr_cell_plan *plan,
				    const struct zr_cell_plan_item *item,
				    const struct zr_cell_worker *worker);
/**
 * zr_cell_step_update_unfit() - set whether a step fits on the idle workers
 *
 * Permits and the limit of the client account are not considered.
 */
void zr_cell_step_update_unfit(struct zr_cell_plan *plan,
			       const struct zr_cell_plan_item *item);

/* lasting.c */
/**
 * zr_cell_lasting_reserve() - reserve capacity for the long-running tasks of a
 * step that wait, and preempt less urgent work if they wait too long
 */
void zr_cell_lasting_reserve(struct zr_cell_plan *plan,
			     const struct zr_cell_plan_item *item);

#endif

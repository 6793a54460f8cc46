#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cell/private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* A permit must still be valid when the start arrives. */
#define PERMIT_SLACK_MS 120
/* The adviser is asked again this long after it failed. */
#define ASK_AGAIN_MS 200
/* A question is given up this long after its answer was due. */
#define ASK_SLACK_MS 800
/* Gangs that may keep room from later work at the same time. */
#define GATHERING_MAX 2

/* One pass over the steps that are ready. */
struct pass {
	struct zr_cell_scheduler *scheduler;
	int64_t now;
	unsigned int gathering;
};

/* A question to the adviser that is open. */
struct question {
	struct zr_cell_scheduler *scheduler;
	uint64_t reign;
	zr_handle job;
	uint32_t step;
	uint32_t permit_ms;
	int64_t asked_at;
	struct zr_cell_helper_row *helper;
	zr_handle named[ZR_CELL_ADVISE_MAX];
	size_t named_count;
};

static uint32_t waiting_of(const struct zr_cell_step_row *step)
{
	return step->waiting;
}

static bool is_gang(const struct zr_cell_step_row *step)
{
	return step->spec->flags & ZR_STEP_GANG;
}

static uint32_t times(uint32_t have, uint32_t need)
{
	return need ? have / need : UINT32_MAX;
}

static uint32_t fits(const struct zr_resources *have,
		     const struct zr_resources *need)
{
	uint32_t slots = times(have->millicpus, need->millicpus);
	uint32_t memory = times(have->memory_mb, need->memory_mb);
	uint32_t accelerators = times(have->accelerators, need->accelerators);

	if (memory < slots)
		slots = memory;
	return accelerators < slots ? accelerators : slots;
}

static bool has_label(const struct zr_cell_worker *worker, const char *label)
{
	const char *each = worker->report.labels;

	for (; *each; each += strlen(each) + 1) {
		if (!strcmp(each, label))
			return true;
	}
	return !*label;
}

/* Tasks of a step on a worker, for its spread. */
static uint32_t tasks_on(const struct zr_cell_job *job,
			 const struct zr_cell_step_row *step, zr_handle worker)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = step->first; i < step->first + step->spec->count; i++) {
		if (job->tasks[i].worker == worker)
			count++;
	}
	return count;
}

/* Whether a worker may run a step at all, with or without room now. */
static bool eligible(const struct pass *pass, const struct zr_cell_job *job,
		     const struct zr_cell_step_row *step, const char *pool,
		     const struct zr_cell_worker *worker)
{
	struct zr_resources need = zr_cell_need(step->spec);

	(void)job;
	return worker->listed && !worker->report.leaving &&
	       worker->orders.ops && worker->clock_ms >= 0 &&
	       pass->now >= worker->suspect_until &&
	       worker->state != ZR_WORKER_UNHEARD &&
	       !strcmp(worker->report.pool, pool) &&
	       has_label(worker, step->spec->label) &&
	       fits(&worker->report.capacity, &need);
}

/* How many tasks of a step a worker can take now. */
static uint32_t slots_on(const struct zr_cell_job *job,
			 const struct zr_cell_step_row *step,
			 const struct zr_cell_worker *worker)
{
	struct zr_resources need = zr_cell_need(step->spec);
	struct zr_resources left = zr_cell_worker_free(worker);
	uint32_t slots = fits(&left, &need);
	uint32_t there;

	if (worker->reserved_for && worker->reserved_for != step)
		return 0;
	if (!step->spec->spread)
		return slots;
	there = tasks_on(job, step, worker->self);
	if (there >= step->spec->spread)
		return 0;
	return slots < step->spec->spread - there ? slots
						  : step->spec->spread - there;
}

static const struct zr_cell_pass *pass_of(const struct zr_cell_step_row *step,
					  zr_handle worker)
{
	size_t i;

	for (i = 0; i < step->pass_count; i++) {
		if (step->passes[i].worker == worker)
			return &step->passes[i];
	}
	return NULL;
}

static bool permitted(const struct zr_cell_step_row *step, zr_handle worker)
{
	const struct zr_cell_pass *row = pass_of(step, worker);

	return row && row->permitted;
}

static bool permitted_now(const struct pass *pass,
			  const struct zr_cell_step_row *step,
			  const struct zr_cell_queue *queue, zr_handle worker)
{
	const struct zr_cell_pass *row;

	if (!queue->advised)
		return true;
	row = pass_of(step, worker);
	return row && row->permitted &&
	       row->until > pass->now + PERMIT_SLACK_MS;
}

/* Placing */

/* The least that would be left is best: wide tasks need whole workers. */
static struct zr_cell_worker *best_worker(const struct pass *pass,
					  const struct zr_cell_job *job,
					  const struct zr_cell_step_row *step,
					  const struct zr_cell_queue *queue,
					  zr_handle avoid)
{
	struct zr_cell_worker *best = NULL;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;
	bool best_near = false;

	HASH_ITER (hh, pass->scheduler->model.worker_by_name, worker, next) {
		bool near = !step->spec->rack[0] ||
			    !strcmp(worker->rack, step->spec->rack);

		if (worker->self == avoid ||
		    !eligible(pass, job, step, queue->pool, worker) ||
		    !permitted_now(pass, step, queue, worker->self) ||
		    !slots_on(job, step, worker))
			continue;
		if (!best || near > best_near ||
		    (near == best_near &&
		     zr_cell_worker_free(worker).millicpus <
			     zr_cell_worker_free(best).millicpus)) {
			best = worker;
			best_near = near;
		}
	}
	return best;
}

static uint32_t next_attempt(const struct zr_cell_job *job,
			     const struct zr_cell_step_row *step, uint32_t task)
{
	uint32_t highest = job->tasks[task].attempt;
	uint32_t i;

	/* Members of a gang have one attempt. */
	for (i = 0; is_gang(step) && i < step->spec->count; i++) {
		if (job->tasks[step->first + i].attempt > highest)
			highest = job->tasks[step->first + i].attempt;
	}
	return highest + 1;
}

static uint32_t next_waiting(const struct zr_cell_job *job,
			     const struct zr_cell_step_row *step, uint32_t from)
{
	while (from < step->first + step->spec->count &&
	       job->tasks[from].state != ZR_TASK_WAITING)
		from++;
	return from;
}

static void log_placed(const struct pass *pass, const struct zr_cell_job *job,
		       const struct zr_cell_step_row *step, uint32_t placed)
{
	zr_log_decision("step.placed job=%s occurrence=%" PRIu32
			" step=%" PRIu32 " tasks=%" PRIu32 " left=%" PRIu32
			" waited_ms=%" PRId64 " version=%" PRIu64,
			job->id, step->occurrence, step->number, placed,
			step->waiting, pass->now - step->ready_at,
			pass->scheduler->config->version);
}

static void place_tasks(struct pass *pass, struct zr_cell_job *job,
			struct zr_cell_step_row *step,
			const struct zr_cell_queue *queue, uint32_t most)
{
	uint32_t end = step->first + step->spec->count;
	uint32_t placed = 0;
	uint32_t task;

	for (task = next_waiting(job, step, step->first);
	     task < end && placed < most;
	     task = next_waiting(job, step, task + 1)) {
		struct zr_cell_worker *worker = best_worker(
			pass, job, step, queue, job->tasks[task].avoid);

		if (!worker)
			break;
		zr_cell_place(pass->scheduler, job, task, worker,
			      job->tasks[task].attempt + 1);
		placed++;
	}
	if (placed)
		log_placed(pass, job, step, placed);
}

/* Gangs */

struct gang_room {
	uint32_t now;	   /* slots on workers with a valid permit */
	uint32_t allowed;  /* slots on workers that are known to be permitted */
	uint32_t anywhere; /* slots on all eligible workers */
};

static struct gang_room gang_room(const struct pass *pass,
				  const struct zr_cell_job *job,
				  const struct zr_cell_step_row *step,
				  const struct zr_cell_queue *queue)
{
	struct gang_room room = {0};
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	HASH_ITER (hh, pass->scheduler->model.worker_by_name, worker, next) {
		uint32_t slots;

		if (!eligible(pass, job, step, queue->pool, worker))
			continue;
		slots = slots_on(job, step, worker);
		room.anywhere += slots;
		if (!queue->advised || permitted(step, worker->self))
			room.allowed += slots;
		if (permitted_now(pass, step, queue, worker->self))
			room.now += slots;
	}
	return room;
}

static void place_gang(struct pass *pass, struct zr_cell_job *job,
		       struct zr_cell_step_row *step,
		       const struct zr_cell_queue *queue)
{
	uint32_t attempt = next_attempt(job, step, step->first);
	uint32_t placed = 0;
	uint32_t task;

	for (task = step->first; task < step->first + step->spec->count;
	     task++) {
		struct zr_cell_worker *worker =
			best_worker(pass, job, step, queue, ZR_HANDLE_NONE);

		if (!worker)
			abort(); /* the room was counted in this pass */
		zr_cell_place(pass->scheduler, job, task, worker, attempt);
		placed++;
	}
	log_placed(pass, job, step, placed);
}

static void release_workers(const struct pass *pass,
			    const struct zr_cell_step_row *step)
{
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	HASH_ITER (hh, pass->scheduler->model.worker_by_name, worker, next) {
		if (worker->reserved_for == step)
			worker->reserved_for = NULL;
	}
}

/* Keeps later work off the workers on which a gang gathers room. */
static void reserve_workers(struct pass *pass, const struct zr_cell_job *job,
			    const struct zr_cell_step_row *step,
			    const struct zr_cell_queue *queue)
{
	struct zr_resources need = zr_cell_need(step->spec);
	uint32_t wanted = step->spec->count;
	uint32_t held = 0;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	HASH_ITER (hh, pass->scheduler->model.worker_by_name, worker, next) {
		if (held >= wanted)
			return;
		if (worker->reserved_for ||
		    !eligible(pass, job, step, queue->pool, worker) ||
		    (queue->advised && !permitted(step, worker->self)))
			continue;
		worker->reserved_for = step;
		held += fits(&worker->report.capacity, &need);
	}
}

/* Asking the adviser */

static struct zr_cell_pass *obtain_pass(struct zr_cell_step_row *step,
					zr_handle worker)
{
	struct zr_cell_pass *row = (struct zr_cell_pass *)pass_of(step, worker);

	if (row)
		return row;
	step->passes = realloc(step->passes,
			       (step->pass_count + 1) * sizeof(*step->passes));
	if (!step->passes)
		abort();
	row = &step->passes[step->pass_count++];
	memset(row, 0, sizeof(*row));
	row->worker = worker;
	return row;
}

static void store_passes(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_step_row *step,
			 const struct question *question,
			 const struct zr_cell_permit *permits, size_t count,
			 int64_t until)
{
	size_t i;

	for (i = 0; i < question->named_count; i++)
		obtain_pass(step, question->named[i]);
	for (i = 0; i < count; i++) {
		struct zr_cell_worker *worker = zr_cell_worker_find(
			&scheduler->model, permits[i].worker);
		struct zr_cell_pass *row;

		if (!worker)
			continue;
		row = obtain_pass(step, worker->self);
		row->permitted = true;
		row->until = until;
		strcpy(row->ticket, permits[i].ticket);
	}
}

static void helper_answered(struct zr_cell_scheduler *scheduler,
			    struct question *question, int error)
{
	struct zr_cell_helper_row *helper = question->helper;
	int64_t now = zr_cell_now(scheduler);

	helper->busy = false;
	zr_histogram_observe(scheduler->advice.answer_ms,
			     (double)(now - question->asked_at));
	if (!error) {
		helper->failures = 0;
		return;
	}
	helper->failures++;
	helper->rest_until = now + ASK_SLACK_MS;
	scheduler->advice.failed->value++;
}

static void on_advice(void *ctx, int error,
		      const struct zr_cell_permit *permits, size_t count,
		      uint32_t validity_ms)
{
	struct question *question = ctx;
	struct zr_cell_scheduler *scheduler = question->scheduler;
	struct zr_cell_step_row *step;
	struct zr_cell_job *job;
	int64_t now;

	if (!zr_cell_call_ended(scheduler)) {
		free(question);
		return;
	}
	now = zr_cell_now(scheduler);
	helper_answered(scheduler, question, error);
	job = question->reign == scheduler->reign
		      ? zr_cell_job(&scheduler->model, question->job)
		      : NULL;
	if (job && question->step < job->step_count) {
		step = &job->steps[question->step];
		step->asking = false;
		zr_log_decision(
			"advice.answered job=%s step=%" PRIu32
			" host=%s error=%d permitted=%zu took_ms=%" PRId64,
			job->id, step->number, question->helper->helper.name,
			error, count, now - question->asked_at);
		if (error < 0) {
			step->retry_at = now + ASK_AGAIN_MS;
		} else {
			step->explored = true;
			if (!validity_ms || validity_ms > question->permit_ms)
				validity_ms = question->permit_ms;
			store_passes(scheduler, step, question, permits, count,
				     now + validity_ms);
		}
	}
	free(question);
	zr_cell_plan_soon(scheduler);
}

/* Workers to name: all that could be, but for those that are not permitted. */
static size_t name_workers(const char **out, zr_handle *out_handles,
			   const struct pass *pass,
			   const struct zr_cell_job *job,
			   const struct zr_cell_step_row *step,
			   const struct zr_cell_queue *queue)
{
	const struct zr_cell_pass *row;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;
	size_t count = 0;

	HASH_ITER (hh, pass->scheduler->model.worker_by_name, worker, next) {
		if (count == ZR_CELL_ADVISE_MAX)
			break;
		row = pass_of(step, worker->self);
		if (!eligible(pass, job, step, queue->pool, worker) ||
		    (row && !row->permitted))
			continue;
		out_handles[count] = worker->self;
		out[count++] = worker->report.name;
	}
	return count;
}

static void ask(struct pass *pass, struct zr_cell_job *job,
		struct zr_cell_step_row *step,
		const struct zr_cell_queue *queue)
{
	struct zr_cell_scheduler *scheduler = pass->scheduler;
	const char *names[ZR_CELL_ADVISE_MAX];
	zr_handle handles[ZR_CELL_ADVISE_MAX];
	struct zr_cell_helper_row *helper;
	struct question *question;
	uint32_t takes_ms;
	size_t count;

	if (step->asking || pass->now < step->retry_at)
		return;
	count = name_workers(names, handles, pass, job, step, queue);
	takes_ms = zr_cell_advice_ms(queue, count);
	helper = count ? zr_cell_advice_pick(&scheduler->advice, pass->now,
					     takes_ms)
		       : NULL;
	if (!helper)
		return;
	question = calloc(1, sizeof(*question));
	if (!question)
		abort();
	question->scheduler = scheduler;
	question->reign = scheduler->reign;
	question->job = job->self;
	question->step = (uint32_t)(step - job->steps);
	question->permit_ms = queue->permit_ms;
	question->asked_at = pass->now;
	question->helper = helper;
	memcpy(question->named, handles, count * sizeof(*handles));
	question->named_count = count;
	helper->busy = true;
	step->asking = true;
	scheduler->advice.asked->value++;
	scheduler->open_calls++;
	helper->helper.ask(helper->helper.ctx, job->id, step->occurrence,
			   step->number, names, count, takes_ms + ASK_SLACK_MS,
			   on_advice, question);
}

/* Trying a step */

static void try_gang(struct pass *pass, struct zr_cell_job *job,
		     struct zr_cell_step_row *step,
		     const struct zr_cell_queue *queue)
{
	struct gang_room room;
	uint32_t count = step->spec->count;

	/* Its members start together: all must wait. */
	if (step->waiting < count)
		return;
	release_workers(pass, step);
	room = gang_room(pass, job, step, queue);
	if (room.now >= count) {
		place_gang(pass, job, step, queue);
		return;
	}
	if (queue->advised && !step->explored) {
		if (room.anywhere >= count)
			ask(pass, job, step, queue);
		return;
	}
	if (queue->advised && room.allowed >= count)
		ask(pass, job, step, queue);
	if (pass->gathering < GATHERING_MAX) {
		pass->gathering++;
		reserve_workers(pass, job, step, queue);
	}
}

static bool room_for_one(const struct pass *pass, const struct zr_cell_job *job,
			 const struct zr_cell_step_row *step,
			 const struct zr_cell_queue *queue)
{
	struct gang_room room = gang_room(pass, job, step, queue);

	return step->explored ? room.allowed : room.anywhere;
}

static void try_tasks(struct pass *pass, struct zr_cell_job *job,
		      struct zr_cell_step_row *step,
		      const struct zr_cell_queue *queue, uint32_t most)
{
	place_tasks(pass, job, step, queue, most);
	if (queue->advised && step->waiting &&
	    room_for_one(pass, job, step, queue))
		ask(pass, job, step, queue);
}

/* The queue as configured now, or as it was when the job was accepted. */
static struct zr_cell_queue queue_of(const struct pass *pass,
				     const struct zr_cell_job *job)
{
	const struct zr_cell_queue *queue =
		zr_cell_config_queue(pass->scheduler->config, job->queue);
	struct zr_cell_queue then = {0};

	if (queue)
		return *queue;
	strcpy(then.pool, job->pool);
	return then;
}

static void try_step(struct pass *pass, struct zr_cell_step_row *step)
{
	struct zr_cell_model *model = &pass->scheduler->model;
	struct zr_cell_job *job = zr_cell_job(model, step->job);
	struct zr_cell_queue queue = queue_of(pass, job);
	uint32_t allowed = zr_cell_client_room(
		zr_cell_client(model, job->client), &step->spec->need);

	if (pass->now < step->ready_at || !waiting_of(step) || !allowed)
		return;
	if (!is_gang(step))
		try_tasks(pass, job, step, &queue, allowed);
	else if (allowed >= step->spec->count)
		try_gang(pass, job, step, &queue);
}

/* Urgent queues first, and the oldest job of a queue first. */
static int by_rank(struct zr_cell_step_row *a, struct zr_cell_step_row *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	return 0;
}

#define PRIORITY_MS 1000000000

static void rank_steps(struct zr_cell_model *model)
{
	struct zr_cell_step_row *step;

	DL_FOREACH(model->ready, step)
	{
		const struct zr_cell_job *job = zr_cell_job(model, step->job);

		step->rank =
			(int64_t)job->priority * PRIORITY_MS + job->accepted_at;
	}
	DL_SORT(model->ready, by_rank);
}

void zr_cell_plan(struct zr_cell_scheduler *scheduler)
{
	struct pass pass = {scheduler, zr_cell_now(scheduler), 0};
	struct zr_cell_step_row *step;
	struct zr_cell_step_row *next;
	struct zr_cell_job *job;

	scheduler->plan_due = false;
	if (scheduler->phase != ZR_CELL_ACTIVE || !scheduler->config ||
	    scheduler->releasing || !zr_cell_may_order(scheduler))
		return;
	rank_steps(&scheduler->model);
	DL_FOREACH_SAFE(scheduler->model.ready, step, next)
	{
		job = zr_cell_job(&scheduler->model, step->job);
		try_step(&pass, step);
		zr_cell_job_review(&scheduler->model, job, pass.now,
				   zr_cell_today(scheduler));
	}
	zr_cell_journal_flush(scheduler->journal);
}

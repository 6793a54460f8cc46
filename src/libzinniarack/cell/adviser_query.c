#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* The adviser is asked again this long after it failed. */
#define ASK_AGAIN_MS 200
/* A question is given up this long after its answer was due. */
#define ASK_SLACK_MS 800
/*
 * Workers named for each that is wanted, by the share that was permitted in the
 * queue so far: some lose their room while the adviser thinks.
 */
#define SPARE_FACTOR 2
#define NAMED_MIN 10
#define GANG_NAMED_MIN 16
/*
 * Hosts are scarce: after an answer that took long, a step with this part of
 * its time left lets room gather before its next question.
 */
#define LONG_QUESTION_MS 40
#define ASK_PAUSE_MS 300
#define SPARE_TIME_PART 2
/* A step that has nothing to ask about is looked at again after so long. */
#define NOTHING_TO_ASK_MS 10
#define PERMILLE 1000
/* A long list of workers is split over hosts, if enough are idle. */
#define CHUNK_MIN 24
#define CHUNKS_MAX 4

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

/*
 * A worker that could be named, how many tasks it has room for, how many of
 * these fit without a stop, whether a gang gathers room there, and whether it
 * is in the home of the gang that asks.
 */
struct candidate {
	const struct zr_cell_worker *worker;
	uint32_t slots;
	uint32_t at_once;
	bool kept;
	bool home;
};

/* Answers */

static void store_passes(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_step_row *step,
			 const struct question *question,
			 const struct zr_cell_permit *permits, size_t count,
			 int64_t until)
{
	size_t i;

	for (i = 0; i < question->named_count; i++)
		zr_cell_pass_obtain(step, question->named[i]);
	for (i = 0; i < count; i++) {
		struct zr_cell_worker *worker = zr_cell_worker_find(
			&scheduler->model, permits[i].worker);
		struct zr_cell_pass *pass;

		if (!worker)
			continue;
		pass = zr_cell_pass_obtain(step, worker->self);
		pass->permitted = true;
		pass->until = until;
		snprintf(pass->ticket, sizeof(pass->ticket), "%s",
			 permits[i].ticket);
	}
}

static void helper_answered(struct zr_cell_scheduler *scheduler,
			    const struct question *question, int error)
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

/* Gangs gather room by themselves. */
static bool can_pause(const struct zr_cell_scheduler *scheduler,
		      const struct question *question,
		      const struct zr_cell_job *job)
{
	int64_t now = zr_cell_now(scheduler);

	return !zr_cell_step_is_gang(&job->steps[question->step]) &&
	       now - question->asked_at >= LONG_QUESTION_MS &&
	       (now - job->accepted_at) * SPARE_TIME_PART <
		       zr_cell_order_objective_ms(job);
}

static void take_answer(struct zr_cell_scheduler *scheduler,
			const struct question *question,
			struct zr_cell_job *job, int error,
			const struct zr_cell_permit *permits, size_t count,
			uint32_t validity_ms)
{
	struct zr_cell_step_row *step = &job->steps[question->step];
	int64_t now = zr_cell_now(scheduler);

	step->asking--;
	zr_log_decision("advice.answered job=%s step=%" PRIu32
			" host=%s error=%d named=%zu permitted=%zu "
			"took_ms=%" PRId64,
			job->id, step->number, question->helper->helper.name,
			error, question->named_count, count,
			now - question->asked_at);
	if (error < 0) {
		step->retry_at = now + ASK_AGAIN_MS;
		return;
	}
	if (can_pause(scheduler, question, job))
		step->retry_at = now + ASK_PAUSE_MS;
	if (!validity_ms || validity_ms > question->permit_ms)
		validity_ms = question->permit_ms;
	store_passes(scheduler, step, question, permits, count,
		     now + validity_ms);
	zr_cell_advice_learn(&scheduler->advice, job->queue,
			     question->named_count, count);
}

static void on_advice(void *ctx, int error,
		      const struct zr_cell_permit *permits, size_t count,
		      uint32_t validity_ms)
{
	struct question *question = ctx;
	struct zr_cell_scheduler *scheduler = question->scheduler;
	struct zr_cell_job *job;

	if (!zr_cell_call_ended(scheduler)) {
		free(question);
		return;
	}
	helper_answered(scheduler, question, error);
	job = question->reign == scheduler->reign
		      ? zr_cell_job(&scheduler->model, question->job)
		      : NULL;
	if (job && question->step < job->step_count)
		take_answer(scheduler, question, job, error, permits, count,
			    validity_ms);
	free(question);
	zr_cell_plan_soon(scheduler);
}

/* Questions */

/* Room that is there counts twice: it costs nobody a stop. */
static int by_slots(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;
	uint32_t x_weight = x->slots + x->at_once;
	uint32_t y_weight = y->slots + y->at_once;

	if (x->kept != y->kept)
		return x->kept ? 1 : -1;
	if (x->home != y->home)
		return x->home ? -1 : 1;
	if (x_weight != y_weight)
		return x_weight > y_weight ? -1 : 1;
	return strcmp(x->worker->report.name, y->worker->report.name);
}

/* Workers with room where the step is permitted, without a valid ticket. */
static size_t find_expired(struct candidate *out,
			   const struct zr_cell_plan *plan,
			   const struct zr_cell_try *try)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < try->known_count; i++) {
		const struct zr_cell_spot *spot = try->known[i].spot;
		uint32_t slots;

		if (zr_cell_known_valid(&try->known[i], plan->now))
			continue;
		slots = zr_cell_spot_slots(try, spot);
		if (slots)
			out[count++] = (struct candidate){
				spot->worker, slots, slots, spot->kept, false};
	}
	qsort(out, count, sizeof(*out), by_slots);
	return count;
}

/* Workers with room about which the adviser was not asked. */
static size_t find_unasked(struct candidate *out,
			   const struct zr_cell_plan *plan,
			   const struct zr_cell_try *try)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < plan->spot_count; i++) {
		const struct zr_cell_spot *spot = &plan->spots[i];
		uint32_t slots;

		if (zr_cell_pass_find(try->step, spot->worker->self))
			continue;
		slots = zr_cell_spot_slots(try, spot);
		if (slots && zr_cell_spot_suits(try, spot))
			out[count++] = (struct candidate){
				spot->worker, slots, slots, spot->kept, false};
	}
	qsort(out, count, sizeof(*out), by_slots);
	return count;
}

/* How many of the candidates hold @wanted tasks. */
static size_t enough(const struct candidate *candidates, size_t count,
		     uint32_t wanted)
{
	uint32_t held = 0;
	size_t i;

	for (i = 0; i < count && held < wanted; i++)
		held += candidates[i].slots;
	return i;
}

static size_t unasked_wanted(const struct zr_cell_plan *plan,
			     const struct zr_cell_try *try,
			     const struct candidate *candidates, size_t count,
			     uint32_t wanted)
{
	uint32_t share =
		zr_cell_advice_share(&plan->scheduler->advice, try->job->queue);
	size_t needed = enough(candidates, count, wanted) * SPARE_FACTOR *
			PERMILLE / share;

	if (needed < NAMED_MIN)
		needed = NAMED_MIN;
	return needed < count ? needed : count;
}

/* A question costs more than a name: a gang learns all it needs at once. */
static size_t gang_wanted(const struct zr_cell_plan *plan,
			  const struct zr_cell_try *try,
			  const struct candidate *candidates, size_t count,
			  uint32_t missing)
{
	uint32_t share =
		zr_cell_advice_share(&plan->scheduler->advice, try->job->queue);
	uint64_t slots = 0;
	uint64_t needed;
	size_t i;

	for (i = 0; i < count; i++)
		slots += zr_cell_fits(&candidates[i].worker->report.capacity,
				      &try->need);
	if (!slots)
		return 0;
	needed = (uint64_t)missing * count * PERMILLE / (slots * share);
	if (needed < GANG_NAMED_MIN)
		needed = GANG_NAMED_MIN;
	return needed < count ? (size_t)needed : count;
}

static void send_question(struct zr_cell_plan *plan,
			  const struct zr_cell_try *try,
			  const struct candidate *candidates, size_t count,
			  struct zr_cell_helper_row *helper)
{
	struct zr_cell_scheduler *scheduler = plan->scheduler;
	struct question *question = calloc(1, sizeof(*question));
	const char *names[ZR_CELL_ADVISE_MAX];
	size_t i;

	if (!question)
		abort();
	question->scheduler = scheduler;
	question->reign = scheduler->reign;
	question->job = try->job->self;
	question->step = (uint32_t)(try->step - try->job->steps);
	question->permit_ms = try->queue.permit_ms;
	question->asked_at = plan->now;
	question->helper = helper;
	for (i = 0; i < count; i++) {
		names[i] = candidates[i].worker->report.name;
		question->named[i] = candidates[i].worker->self;
	}
	question->named_count = count;
	helper->busy = true;
	try->step->asking++;
	scheduler->advice.asked->value++;
	scheduler->open_calls++;
	helper->helper.ask(helper->helper.ctx, try->job->id,
			   try->step->occurrence, try->step->number, names,
			   count,
			   zr_cell_advice_ms(&try->queue, count) + ASK_SLACK_MS,
			   on_advice, question);
}

static size_t chunk_size(const struct zr_cell_plan *plan, size_t count)
{
	size_t chunks =
		zr_cell_advice_idle(&plan->scheduler->advice, plan->now) /
		CHUNKS_MAX;

	if (chunks > CHUNKS_MAX)
		chunks = CHUNKS_MAX;
	if (chunks > count / CHUNK_MIN)
		chunks = count / CHUNK_MIN;
	if (!chunks)
		chunks = 1;
	count = (count + chunks - 1) / chunks;
	return count < ZR_CELL_ADVISE_MAX ? count : ZR_CELL_ADVISE_MAX;
}

/* Asks about candidates, in parts for several hosts where that is faster. */
static void send_questions(struct zr_cell_plan *plan,
			   const struct zr_cell_try *try,
			   const struct candidate *candidates, size_t count)
{
	size_t size = chunk_size(plan, count);
	size_t at;

	for (at = 0; at < count; at += size) {
		size_t named = count - at < size ? count - at : size;
		struct zr_cell_helper_row *helper = zr_cell_advice_pick(
			&plan->scheduler->advice, plan->now,
			zr_cell_advice_ms(&try->queue, named));

		if (!helper)
			return;
		send_question(plan, try, candidates + at, named, helper);
	}
}

static struct candidate *new_candidates(const struct zr_cell_plan *plan)
{
	struct candidate *candidates =
		calloc(plan->spot_count + 1, sizeof(*candidates));

	if (!candidates)
		abort();
	return candidates;
}

/* Whether a question could be sent at all. */
static bool can_ask(const struct zr_cell_plan *plan,
		    const struct zr_cell_try *try)
{
	return !try->step->asking && plan->now >= try->step->retry_at &&
	       zr_cell_advice_pick(&plan->scheduler->advice, plan->now,
				   zr_cell_advice_ms(&try->queue, NAMED_MIN));
}

static void ask_about(struct zr_cell_plan *plan, const struct zr_cell_try *try,
		      const struct candidate *candidates, size_t count)
{
	if (count)
		send_questions(plan, try, candidates, count);
	else
		try->step->retry_at = plan->now + NOTHING_TO_ASK_MS;
}

void zr_cell_ask(struct zr_cell_plan *plan, const struct zr_cell_try *try)
{
	struct candidate *candidates;
	uint32_t wanted = try->step->waiting;
	size_t known;
	size_t count;

	if (!can_ask(plan, try))
		return;
	candidates = new_candidates(plan);
	known = find_expired(candidates, plan, try);
	count = enough(candidates, known, wanted);
	if (count == known) {
		size_t unasked = find_unasked(candidates + known, plan, try);

		count += unasked_wanted(plan, try, candidates + known, unasked,
					wanted);
	}
	ask_about(plan, try, candidates, count);
	free(candidates);
}

/*
 * Workers chosen for the gang, if the ticket of any ends before its room is
 * there: all are named, so that their tickets end together.
 */
static size_t find_chosen(struct candidate *out,
			  const struct zr_cell_plan *plan,
			  const struct zr_cell_gathered *gathered)
{
	int64_t then = plan->now + ZR_CELL_STOP_MS;
	bool ends = false;
	size_t count = 0;
	size_t i;

	for (i = 0; i < gathered->count; i++) {
		const struct zr_cell_place *place = &gathered->places[i];

		if (!place->chosen)
			continue;
		ends |= !zr_cell_known_valid(place->known, then);
		out[count++] = (struct candidate){
			place->spot->worker, place->chosen, 0, false, false};
	}
	return ends ? count : 0;
}

/* Workers never asked about, those where members fit soonest first. */
static size_t find_unknown(struct candidate *out, struct zr_cell_plan *plan,
			   const struct zr_cell_try *try)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < plan->spot_count; i++) {
		struct zr_cell_spot *spot = &plan->spots[i];

		if (!zr_cell_pass_find(try->step, spot->worker->self) &&
		    zr_cell_spot_suits(try, spot))
			out[count++] = (struct candidate){
				spot->worker,
				zr_cell_spot_reach(plan, try, spot),
				zr_cell_spot_soon(plan, try, spot),
				spot->kept,
				zr_cell_is_home(try, spot),
			};
	}
	qsort(out, count, sizeof(*out), by_slots);
	return count;
}

void zr_cell_ask_gang(struct zr_cell_plan *plan, const struct zr_cell_try *try,
		      const struct zr_cell_gathered *gathered)
{
	struct candidate *candidates;
	size_t count = 0;

	if ((!gathered->missing && !gathered->near) || !can_ask(plan, try))
		return;
	candidates = new_candidates(plan);
	if (gathered->near)
		count = find_chosen(candidates, plan, gathered);
	if (!count && gathered->missing) {
		zr_cell_choose_home(plan, try);
		count = find_unknown(candidates, plan, try);
		count = gang_wanted(plan, try, candidates, count,
				    gathered->missing);
	}
	ask_about(plan, try, candidates, count);
	free(candidates);
}

#include "cell/policy/worker_speed.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PERMILLE 1000
#define MEDIAN 500
/* Runs of a class, or of a kind, before its median is used. */
#define CLASS_RUNS_MIN 16
#define KIND_RUNS_MIN 12
/*
 * At this many runs, counts are halved so that older runs weigh less. A tail of
 * 3 in 100 tasks has to show in the counts of a class.
 */
#define CLASS_RUNS_MAX 512
#define KIND_RUNS_MAX 128
/* Factor of a far place that has too few runs; it is 1.5 to 3. */
#define FAR_FACTOR 2
/*
 * Part of a worker's logarithmic speed by which its runs are corrected before
 * their class learns from them. With the whole of it, a common factor of all
 * classes and speeds would be undetermined and drift. With less, it settles
 * where the average run has speed 1.
 */
#define CORRECTION 0.9F
/*
 * Samples that the kind counts for in the median of a worker. With two, a
 * single slow run does not change the speed.
 */
#define KIND_SAMPLES 2
/*
 * Width of a band, as a logarithm: a factor of 1.62, so that workers of 0.6,
 * 1.0 and 1.6 are in three bands.
 */
#define BAND_WIDTH 0.7F
/* A speed keeps its band up to this distance from the middle of it. */
#define BAND_KEPT 0.6F
/* A run is slow below this part of its worker's speed, as a logarithm: 0.45. */
#define SLOW_LOG2 (-1.15F)
/*
 * Number of slow runs, none of them known to have been faster, that show a
 * faulty worker. Where 3 in 100 tasks take 7 times as long, nearly a fifth of
 * all active runs are such tails, so two are often together.
 */
#define SLOW_RUNS_MIN 3
/*
 * Time that a worker counts as faulty after its last slow run. It gets work
 * again then, which shows whether it has recovered.
 */
#define FAULTY_MS 4000
/* Time after that in which one slow run is enough. */
#define RELAPSE_MS 6000
/* A worker that is slow for longer just has another speed now. */
#define FAULTY_MAX_MS 20000
/*
 * Shortest interval between two measurements of a run's progress, and as a part
 * of its usual run time: progress is reported in whole percent.
 */
#define INTERVAL_MIN_MS 300
#define INTERVAL_PERCENT 10
/* Part of the time here that a move to another worker may take. */
#define MOVE_PERCENT 70
/* Faults last 6.5 s; this is about what is left when one has been noticed. */
#define FAULT_REST_MS 5000
#define LOG2_MAX 5.0F
/* Part of the time left that the usual run time may take. */
#define TIME_PERCENT 75
#define PERCENT 100

static float clamp_log2(float value)
{
	return fmaxf(-LOG2_MAX, fminf(LOG2_MAX, value));
}

/* Logarithm of @a / @b, both at least 1. */
static float log2_ratio(double a, double b)
{
	return clamp_log2((float)log2(fmax(a, 1) / fmax(b, 1)));
}

static int band_of(float log2, int previous)
{
	int band = (int)lroundf(log2 / BAND_WIDTH);

	if (fabsf(log2 / BAND_WIDTH - (float)previous) <= BAND_KEPT)
		return previous;
	if (band < ZR_SPEED_BAND_MIN)
		return ZR_SPEED_BAND_MIN;
	return band > ZR_SPEED_BAND_MAX ? ZR_SPEED_BAND_MAX : band;
}

/* Classes */

static uint32_t size_of(uint32_t estimate_ms)
{
	return 31 - (uint32_t)__builtin_clz(estimate_ms);
}

uint32_t zr_speed_class_get_or_add(struct zr_speed_table *table,
				   const char *queue, uint32_t estimate_ms)
{
	struct zr_speed_class *class;
	uint32_t size;
	uint32_t i;

	if (!estimate_ms)
		return 0;
	size = size_of(estimate_ms);
	for (i = 0; i < table->class_count; i++) {
		if (table->classes[i].size == size &&
		    !strcmp(table->classes[i].queue, queue))
			return i + 1;
	}
	if (i == ZR_SPEED_CLASSES_MAX)
		return 0;
	class = &table->classes[table->class_count++];
	memset(class, 0, sizeof(*class));
	snprintf(class->queue, sizeof(class->queue), "%s", queue);
	class->size = size;
	return table->class_count;
}

static uint32_t scale(uint32_t estimate_ms, uint64_t permille)
{
	uint64_t ms = estimate_ms * permille / PERMILLE;

	return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

bool zr_speed_class_known(const struct zr_speed_table *table, uint32_t class)
{
	return class && table->classes[class - 1].usual_permille[ZR_SPEED_NEAR];
}

/* Median of a class, in thousandths of the estimate; 0: not known. */
static uint32_t usual_permille(const struct zr_speed_table *table,
			       uint32_t class, enum zr_speed_place place)
{
	const struct zr_speed_class *entry;

	if (!class)
		return 0;
	entry = &table->classes[class - 1];
	if (place == ZR_SPEED_FAR && !entry->usual_permille[ZR_SPEED_FAR])
		return FAR_FACTOR * entry->usual_permille[ZR_SPEED_NEAR];
	return entry->usual_permille[place];
}

uint32_t zr_speed_usual_ms(const struct zr_speed_table *table, uint32_t class,
			   enum zr_speed_place place, uint32_t estimate_ms)
{
	uint32_t usual = usual_permille(table, class, place);

	if (!usual)
		usual = place == ZR_SPEED_FAR ? FAR_FACTOR * PERMILLE
					      : PERMILLE;
	return scale(estimate_ms, usual);
}

uint32_t zr_speed_longest_ms(const struct zr_speed_table *table, uint32_t class,
			     uint32_t estimate_ms, uint32_t tasks)
{
	/* The longest of n tasks is on average beyond this part of all runs. */
	uint32_t quantile = PERMILLE - PERMILLE / (2 * (tasks ? tasks : 1));

	if (!zr_speed_class_known(table, class))
		return estimate_ms;
	return scale(estimate_ms,
		     zr_value_histogram_quantile(
			     &table->classes[class - 1].ratios[ZR_SPEED_NEAR],
			     quantile));
}

int zr_speed_far_bands(const struct zr_speed_table *table, uint32_t class)
{
	uint32_t near = usual_permille(table, class, ZR_SPEED_NEAR);
	uint32_t far = usual_permille(table, class, ZR_SPEED_FAR);

	if (!near)
		return (int)lroundf(1 / BAND_WIDTH);
	return far > near ? (int)lroundf(log2_ratio(far, near) / BAND_WIDTH)
			  : 0;
}

/* Workers and kinds */

static uint32_t kind_get_or_add(struct zr_speed_table *table, const char *name)
{
	uint32_t i;

	if (!name[0])
		return 0;
	for (i = 0; i < table->kind_count; i++) {
		if (!strcmp(table->kinds[i].name, name))
			return i + 1;
	}
	if (i == ZR_SPEED_KINDS_MAX)
		return 0;
	memset(&table->kinds[i], 0, sizeof(table->kinds[i]));
	snprintf(table->kinds[i].name, sizeof(table->kinds[i].name), "%s",
		 name);
	table->kind_count++;
	return i + 1;
}

void zr_speed_worker_set(struct zr_speed_table *table,
			 struct zr_worker_speed *speed, const char *kind,
			 int64_t incarnation)
{
	uint32_t number = kind_get_or_add(table, kind);

	if (speed->kind == number && speed->incarnation == incarnation)
		return;
	*speed = (struct zr_worker_speed){.kind = number,
					  .incarnation = incarnation};
}

static float kind_log2(const struct zr_speed_table *table,
		       const struct zr_worker_speed *speed)
{
	return speed->kind ? table->kinds[speed->kind - 1].log2 : 0;
}

static bool has_samples(const struct zr_worker_speed *speed, int64_t now)
{
	return speed->count && now - speed->sampled_at <= ZR_SPEED_VALID_MS;
}

/* Speed of a worker when it is not faulty. */
static float normal_log2(const struct zr_speed_table *table,
			 const struct zr_worker_speed *speed, int64_t now)
{
	return has_samples(speed, now) ? speed->log2 : kind_log2(table, speed);
}

static float believed_log2(const struct zr_speed_table *table,
			   const struct zr_worker_speed *speed, int64_t now)
{
	return zr_speed_is_faulty(speed, now) ? speed->faulty_log2
					      : normal_log2(table, speed, now);
}

uint32_t zr_speed_permille(const struct zr_speed_table *table,
			   const struct zr_worker_speed *speed, int64_t now)
{
	return (uint32_t)lroundf(PERMILLE *
				 exp2f(believed_log2(table, speed, now)));
}

int zr_speed_faulty_band(const struct zr_worker_speed *speed)
{
	return band_of(speed->faulty_log2, 0);
}

static int by_value(const void *a, const void *b)
{
	const float *x = a;
	const float *y = b;

	return (*x > *y) - (*x < *y);
}

static void add_sample(const struct zr_speed_table *table,
		       struct zr_worker_speed *speed, float log2, int64_t now)
{
	float sorted[ZR_SPEED_SAMPLES + KIND_SAMPLES];
	uint32_t count;
	uint32_t i;

	if (!has_samples(speed, now)) {
		speed->count = 0;
		speed->next = 0;
	}
	speed->samples[speed->next] = log2;
	speed->next = (speed->next + 1) % ZR_SPEED_SAMPLES;
	if (speed->count < ZR_SPEED_SAMPLES)
		speed->count++;
	speed->sampled_at = now;
	for (i = 0; i < speed->count; i++)
		sorted[i] = speed->samples[i];
	for (count = speed->count; count < speed->count + KIND_SAMPLES; count++)
		sorted[count] = kind_log2(table, speed);
	qsort(sorted, count, sizeof(*sorted), by_value);
	speed->log2 = (sorted[(count - 1) / 2] + sorted[count / 2]) / 2;
	speed->band = band_of(speed->log2, speed->band);
}

static void add_to_kind(struct zr_speed_table *table,
			const struct zr_worker_speed *speed, float log2)
{
	struct zr_speed_kind *kind;

	if (!speed->kind)
		return;
	kind = &table->kinds[speed->kind - 1];
	zr_value_histogram_add(&kind->permille,
			       (uint64_t)lroundf(PERMILLE * exp2f(log2)),
			       KIND_RUNS_MAX);
	if (kind->permille.total < KIND_RUNS_MIN)
		return;
	kind->log2 = log2_ratio(
		(double)zr_value_histogram_quantile(&kind->permille, MEDIAN),
		PERMILLE);
	kind->band = band_of(kind->log2, kind->band);
}

static void add_to_class(struct zr_speed_table *table,
			 const struct zr_speed_run *run, float worker_log2)
{
	struct zr_speed_class *class = &table->classes[run->task.class - 1];
	struct zr_value_histogram *ratios = &class->ratios[run->task.place];
	double ms = (double)run->run_ms * exp2f(CORRECTION * worker_log2);

	zr_value_histogram_add(
		ratios, (uint64_t)(ms * PERMILLE / run->task.estimate_ms),
		CLASS_RUNS_MAX);
	if (ratios->total >= CLASS_RUNS_MIN)
		class->usual_permille[run->task.place] =
			(uint32_t)zr_value_histogram_quantile(ratios, MEDIAN);
}

/* Faulty workers */

static bool is_slow(const struct zr_speed_table *table,
		    const struct zr_worker_speed *speed, float log2,
		    int64_t now)
{
	return log2 - normal_log2(table, speed, now) < SLOW_LOG2;
}

/* Time since which a worker has been as it is now: faulty or not. */
static int64_t unchanged_since(const struct zr_worker_speed *speed, int64_t now)
{
	return now >= speed->faulty_until &&
			       speed->faulty_until > speed->changed_at
		       ? speed->faulty_until
		       : speed->changed_at;
}

static void count_run(const struct zr_speed_table *table,
		      struct zr_worker_speed *speed, float log2, bool was_usual,
		      int64_t now)
{
	if (!is_slow(table, speed, log2, now)) {
		speed->usual_runs++;
		return;
	}
	if (!speed->slow_runs && !speed->slowed_runs)
		speed->slow_log2 = log2;
	speed->slow_log2 = fmaxf(speed->slow_log2, log2);
	if (was_usual)
		speed->slowed_runs++;
	else
		speed->slow_runs++;
}

void zr_speed_add_run(struct zr_speed_table *table,
		      struct zr_worker_speed *speed,
		      const struct zr_speed_run *run, int64_t now)
{
	bool faulty = zr_speed_is_faulty(speed, now);
	uint32_t usual;
	float log2;

	if (!run->task.class || run->run_ms <= 0 ||
	    now - run->run_ms < unchanged_since(speed, now))
		return;
	usual = usual_permille(table, run->task.class, run->task.place);
	log2 = log2_ratio((double)scale(run->task.estimate_ms, usual),
			  (double)run->run_ms);
	if (usual && !run->gang)
		count_run(table, speed, log2, false, now);
	/* After long, it is no fault any more but the worker's speed. */
	if (faulty && now - speed->changed_at < FAULTY_MAX_MS)
		return;
	if (usual && !run->gang) {
		add_sample(table, speed, log2, now);
		add_to_kind(table, speed, log2);
	}
	add_to_class(table, run, normal_log2(table, speed, now));
}

void zr_speed_observe(const struct zr_speed_table *table,
		      struct zr_worker_speed *speed,
		      struct zr_speed_progress *progress,
		      const struct zr_speed_task *task, uint32_t percent,
		      int64_t now)
{
	uint32_t usual = usual_permille(table, task->class, task->place);
	uint32_t usual_ms = scale(task->estimate_ms, usual);
	int64_t elapsed = now - progress->at;

	if (!usual || elapsed < INTERVAL_MIN_MS ||
	    elapsed < (int64_t)usual_ms * INTERVAL_PERCENT / PERCENT)
		return;
	/* Without any progress, somewhat less than a percent is assumed. */
	progress->log2 = log2_ratio(
		percent > progress->percent
			? (double)usual_ms * (percent - progress->percent)
			: (double)usual_ms / 2,
		(double)elapsed * PERCENT);
	progress->measured = true;
	progress->percent = (uint8_t)percent;
	progress->at = now;
	count_run(table, speed, progress->log2, progress->was_usual, now);
	if (!is_slow(table, speed, progress->log2, now))
		progress->was_usual = true;
}

static bool shows_fault(const struct zr_worker_speed *speed, int64_t now)
{
	if (speed->usual_runs)
		return false;
	if (speed->faulty_until && now < speed->faulty_until + RELAPSE_MS)
		return speed->slow_runs || speed->slowed_runs;
	return speed->slowed_runs || speed->slow_runs >= SLOW_RUNS_MIN;
}

void zr_speed_judge(struct zr_worker_speed *speed, int64_t now)
{
	if (shows_fault(speed, now)) {
		if (!zr_speed_is_faulty(speed, now))
			speed->changed_at = now;
		speed->faulty_log2 = speed->slow_log2;
		speed->faulty_until = now + FAULTY_MS;
	} else if (speed->usual_runs > speed->slowed_runs &&
		   zr_speed_is_faulty(speed, now)) {
		speed->changed_at = now;
		speed->faulty_until = 0;
	}
	speed->usual_runs = 0;
	speed->slow_runs = 0;
	speed->slowed_runs = 0;
}

/* Moves */

enum zr_speed_cause zr_speed_cause_of(const struct zr_speed_table *table,
				      const struct zr_worker_speed *speed,
				      const struct zr_speed_progress *progress,
				      int64_t now)
{
	if (!progress->measured || !is_slow(table, speed, progress->log2, now))
		return ZR_SPEED_CAUSE_NONE;
	return zr_speed_is_faulty(speed, now) ? ZR_SPEED_CAUSE_WORKER
					      : ZR_SPEED_CAUSE_TAIL;
}

int64_t zr_speed_rest_here_ms(const struct zr_speed_move *move)
{
	double left = (double)move->usual_here_ms * (PERCENT - move->percent) /
		      PERCENT;
	double ms = left * exp2f(-move->here_log2);

	if (move->cause != ZR_SPEED_CAUSE_WORKER || ms <= FAULT_REST_MS)
		return (int64_t)ms;
	left -= FAULT_REST_MS * exp2f(move->here_log2);
	return (int64_t)(FAULT_REST_MS + left * exp2f(-move->worker_log2));
}

int64_t zr_speed_rest_there_ms(const struct zr_speed_move *move)
{
	double left = (double)move->usual_there_ms *
		      (PERCENT - move->saved_percent) / PERCENT;
	float log2 = move->there_log2;

	/* A task in the tail is as much slower than usual there as here. */
	if (move->cause == ZR_SPEED_CAUSE_TAIL)
		log2 += move->here_log2 - move->worker_log2;
	return (int64_t)(move->cost_ms + left * exp2f(-log2));
}

bool zr_speed_should_move(const struct zr_speed_move *move)
{
	return move->cause != ZR_SPEED_CAUSE_NONE &&
	       zr_speed_rest_there_ms(move) * PERCENT <
		       zr_speed_rest_here_ms(move) * MOVE_PERCENT;
}

float zr_speed_worker_log2(const struct zr_speed_table *table,
			   const struct zr_worker_speed *speed, int64_t now)
{
	return normal_log2(table, speed, now);
}

float zr_speed_band_log2(int band)
{
	return BAND_WIDTH * (float)band;
}

/* Placement */

/* Lowest band on which a step ends in time; @ms is its time at speed 1. */
static int lowest_band(uint32_t ms, int fastest, int64_t limit_ms)
{
	int band;

	if (limit_ms <= 0)
		return ZR_SPEED_BAND_MAX;
	band = (int)ceilf(log2_ratio(ms, (double)limit_ms) / BAND_WIDTH);
	if (band < ZR_SPEED_BAND_MIN)
		return ZR_SPEED_BAND_MIN;
	return band <= fastest ? band : ZR_SPEED_BAND_MAX;
}

int zr_speed_wanted_band(const struct zr_speed_need *need, int fastest)
{
	int band;

	if (need->urgent)
		return ZR_SPEED_BAND_MAX;
	band = lowest_band(need->longest_ms, fastest, need->left_ms);
	/* A tail that is late even on the fastest worker is late anywhere. */
	if (band == ZR_SPEED_BAND_MAX)
		band = lowest_band(need->usual_ms, fastest,
				   need->left_ms * TIME_PERCENT / PERCENT);
	return band;
}

int zr_speed_gang_band(const uint32_t slots[ZR_SPEED_BANDS], uint32_t members,
		       int wanted)
{
	uint32_t sum = 0;
	int band;

	for (band = wanted; band <= ZR_SPEED_BAND_MAX; band++) {
		if (slots[band - ZR_SPEED_BAND_MIN] >= members)
			return band;
	}
	for (band = ZR_SPEED_BAND_MAX; band >= ZR_SPEED_BAND_MIN; band--) {
		sum += slots[band - ZR_SPEED_BAND_MIN];
		if (sum >= members)
			return band;
	}
	return wanted;
}

#ifndef ZR_CELL_POLICY_WORKER_SPEED_H
#define ZR_CELL_POLICY_WORKER_SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/job.h"
#include "zinniarack/value_histogram.h"

/**
 * DOC: Learned run times and speeds of workers
 *
 * A class is the tasks of one queue whose estimates have the same size. Its
 * usual run time is learned as a multiple of the estimate, so estimates that
 * are off by class do no harm. The speed of a worker is learned from its run
 * times relative to the usual ones of their classes; that of a kind, from the
 * runs of all its workers. A speed of 1 is that of an average run.
 *
 * All estimates are medians, so a task that takes many times as long as usual
 * (a tail) does not move them.
 *
 * A worker is faulty while all its runs are much slower than its own speed. A
 * tail is slow from its start and does not affect other runs. So a worker is
 * taken to be faulty when runs have slowed down, or several are slow, and none
 * makes usual progress. Progress is observed for each reply of the worker:
 * zr_speed_observe() for its runs, then zr_speed_judge().
 *
 * Speeds are handled as logarithms to the base 2, and as bands: workers of one
 * band are taken to finish at the same time. The module reads no clock; times
 * are in milliseconds.
 */

/** Maximum number of classes; tasks beyond them are not learned from. */
#define ZR_SPEED_CLASSES_MAX 64
/** Maximum number of kinds of workers; others have no kind. */
#define ZR_SPEED_KINDS_MAX 16
/** Number of the latest runs of a worker that its speed is taken from. */
#define ZR_SPEED_SAMPLES 9
/** Lowest and highest band. */
#define ZR_SPEED_BAND_MIN (-6)
#define ZR_SPEED_BAND_MAX 6

/** enum zr_speed_place - where a task runs, relative to its data */
enum zr_speed_place {
	ZR_SPEED_NEAR, /* in the rack that holds its data, or it needs none */
	ZR_SPEED_FAR,  /* in another rack */
	ZR_SPEED_PLACES,
};

/**
 * struct zr_speed_class - learned run times of a class of tasks
 * @queue: name of the queue
 * @size: logarithm of the estimate
 * @ratios: by place, run times at speed 1, in thousandths of the estimate
 * @usual_permille: medians of @ratios; 0: too few runs
 */
struct zr_speed_class {
	char queue[ZR_NAME_MAX];
	uint32_t size;
	struct zr_value_histogram ratios[ZR_SPEED_PLACES];
	uint32_t usual_permille[ZR_SPEED_PLACES];
};

/**
 * struct zr_speed_kind - learned speed of a kind of workers
 * @name: name of the kind
 * @permille: speeds of the runs of its workers, in thousandths
 * @log2: logarithm of the median; 0 if there are too few runs
 * @band: band of @log2
 */
struct zr_speed_kind {
	char name[ZR_NAME_MAX];
	struct zr_value_histogram permille;
	float log2;
	int band;
};

/**
 * struct zr_speed_table - classes and kinds, identified by their position
 * @classes: the classes
 * @class_count: number of classes
 * @kinds: the kinds
 * @kind_count: number of kinds
 */
struct zr_speed_table {
	struct zr_speed_class classes[ZR_SPEED_CLASSES_MAX];
	uint32_t class_count;
	struct zr_speed_kind kinds[ZR_SPEED_KINDS_MAX];
	uint32_t kind_count;
};

/**
 * struct zr_worker_speed - learned speed of a worker; all zero: nothing known
 * @kind: number of its kind, counted from 1; 0: none
 * @band: band of @log2
 * @count: number of @samples that are set
 * @next: position of the next one
 * @sampled_at: when the last one was added
 * @faulty_until: until when it counts as faulty unless a slow run is seen
 * @incarnation: incarnation of the worker that the rest is about
 * @samples: logarithms of the speeds of its latest runs
 * @log2: logarithm of its speed; valid if @count is not 0
 * @changed_at: when the worker became faulty or was seen to have recovered
 * @faulty_log2: logarithm of its speed while it is faulty
 * @usual_runs: runs observed since zr_speed_judge() that are not slow
 * @slow_runs: those that are slow, and may always have been
 * @slowed_runs: those that are slow, but were not before
 * @slow_log2: logarithm of the speed of the fastest of the slow ones
 *
 * A planning pass reads the members before @incarnation of all workers.
 */
struct zr_worker_speed {
	uint32_t kind;
	int band;
	uint32_t count;
	uint32_t next;
	int64_t sampled_at;
	int64_t faulty_until;
	int64_t incarnation;
	float samples[ZR_SPEED_SAMPLES];
	float log2;
	int64_t changed_at;
	float faulty_log2;
	uint16_t usual_runs;
	uint16_t slow_runs;
	uint16_t slowed_runs;
	float slow_log2;
};

/**
 * zr_speed_class_get_or_add() - find a class
 * @table: the table
 * @queue: name of the queue
 * @estimate_ms: estimated run time of the task
 *
 * Return: its number, counted from 1; 0 if there is no estimate or no space.
 */
uint32_t zr_speed_class_get_or_add(struct zr_speed_table *table,
				   const char *queue, uint32_t estimate_ms);

/**
 * zr_speed_usual_ms() - usual run time of a task on a worker of speed 1
 * @table: the table
 * @class: number of its class
 * @place: where it runs
 * @estimate_ms: its estimated run time, used as it is if nothing is known
 *
 * A far place is taken to double the time as long as it has too few runs.
 */
uint32_t zr_speed_usual_ms(const struct zr_speed_table *table, uint32_t class,
			   enum zr_speed_place place, uint32_t estimate_ms);

/**
 * zr_speed_longest_ms() - expected longest run time of several tasks
 * @table: the table
 * @class: number of their class
 * @estimate_ms: their estimated run time
 * @tasks: number of tasks
 *
 * Return: the time on workers of speed 1, near the data. Includes the tail of
 * the class if there are so many tasks that one of them is likely to be in it.
 */
uint32_t zr_speed_longest_ms(const struct zr_speed_table *table, uint32_t class,
			     uint32_t estimate_ms, uint32_t tasks);

/** zr_speed_class_known() - whether a class has enough runs to judge others */
bool zr_speed_class_known(const struct zr_speed_table *table, uint32_t class);

/**
 * zr_speed_worker_set() - set the kind and the incarnation of a worker
 * @table: the table
 * @speed: speed of the worker; reset if either has changed
 * @kind: name of its kind; "": none
 * @incarnation: its incarnation; 0: not known
 */
void zr_speed_worker_set(struct zr_speed_table *table,
			 struct zr_worker_speed *speed, const char *kind,
			 int64_t incarnation);

/**
 * struct zr_speed_task - what is known of a task before it runs
 * @class: number of its class
 * @place: where it runs
 * @estimate_ms: its estimated run time
 */
struct zr_speed_task {
	uint32_t class;
	enum zr_speed_place place;
	uint32_t estimate_ms;
};

/**
 * struct zr_speed_run - a run that has succeeded
 * @task: its task
 * @run_ms: its run time, from the beginning of the task
 * @gang: its time is that of the slowest member of its gang
 */
struct zr_speed_run {
	struct zr_speed_task task;
	int64_t run_ms;
	bool gang;
};

/**
 * zr_speed_add_run() - learn from a run
 * @table: the table
 * @speed: speed of the worker
 * @run: the run
 * @now: the current time
 *
 * A run of a gang tells about its class, but not about the worker. A run that
 * began before the worker became faulty, or recovered, is ignored.
 */
void zr_speed_add_run(struct zr_speed_table *table,
		      struct zr_worker_speed *speed,
		      const struct zr_speed_run *run, int64_t now);

/**
 * struct zr_speed_progress - progress of an active run
 * @at: end of the last interval, or when the run started
 * @log2: logarithm of the speed in the last interval; valid if @measured
 * @percent: progress at @at
 * @measured: an interval has ended
 * @was_usual: the run was not slow in some interval
 */
struct zr_speed_progress {
	int64_t at;
	float log2;
	uint8_t percent;
	bool measured;
	bool was_usual;
};

/**
 * zr_speed_observe() - observe an active run
 * @table: the table
 * @speed: speed of the worker
 * @progress: the run; updated when an interval that is long enough has passed
 * @task: its task
 * @percent: its progress, below 100
 * @now: the current time
 */
void zr_speed_observe(const struct zr_speed_table *table,
		      struct zr_worker_speed *speed,
		      struct zr_speed_progress *progress,
		      const struct zr_speed_task *task, uint32_t percent,
		      int64_t now);

/**
 * zr_speed_judge() - decide whether a worker is faulty by what was observed
 * @speed: speed of the worker
 * @now: the current time
 */
void zr_speed_judge(struct zr_worker_speed *speed, int64_t now);

/** zr_speed_is_faulty() - whether a worker is much slower than it used to be */
static inline bool zr_speed_is_faulty(const struct zr_worker_speed *speed,
				      int64_t now)
{
	return now < speed->faulty_until;
}

/**
 * zr_speed_permille() - believed speed of a worker
 *
 * Return: the speed in thousandths: as measured, or else that of its kind, or
 * else 1000.
 */
uint32_t zr_speed_permille(const struct zr_speed_table *table,
			   const struct zr_worker_speed *speed, int64_t now);

/** A worker without runs for this time has the speed of its kind again. */
#define ZR_SPEED_VALID_MS 60000

/** zr_speed_faulty_band() - band of a worker's speed while it is faulty */
int zr_speed_faulty_band(const struct zr_worker_speed *speed);

/** zr_speed_band() - band of a worker's speed; the highest is the fastest */
static inline int zr_speed_band(const struct zr_speed_table *table,
				const struct zr_worker_speed *speed,
				int64_t now)
{
	if (zr_speed_is_faulty(speed, now))
		return zr_speed_faulty_band(speed);
	if (speed->count && now - speed->sampled_at <= ZR_SPEED_VALID_MS)
		return speed->band;
	return speed->kind ? table->kinds[speed->kind - 1].band : 0;
}

/** zr_speed_far_bands() - number of bands that a far place costs a class */
int zr_speed_far_bands(const struct zr_speed_table *table, uint32_t class);

/**
 * enum zr_speed_cause - why a run is slow
 * @ZR_SPEED_CAUSE_NONE: it is not, or that is not known
 * @ZR_SPEED_CAUSE_TAIL: the task takes long wherever it runs; other runs of its
 *	worker are not affected
 * @ZR_SPEED_CAUSE_WORKER: the worker is faulty
 */
enum zr_speed_cause {
	ZR_SPEED_CAUSE_NONE,
	ZR_SPEED_CAUSE_TAIL,
	ZR_SPEED_CAUSE_WORKER,
};

/** zr_speed_cause_of() - determine why an active run of a worker is slow */
enum zr_speed_cause zr_speed_cause_of(const struct zr_speed_table *table,
				      const struct zr_worker_speed *speed,
				      const struct zr_speed_progress *progress,
				      int64_t now);

/**
 * struct zr_speed_move - a slow run that could go on on another worker
 * @cause: why it is slow
 * @here_log2: logarithm of its speed
 * @worker_log2: that of its worker when it is not faulty
 * @there_log2: that of the other worker
 * @usual_here_ms: usual run time of the task at speed 1, at the place of each
 * @usual_there_ms: as above
 * @percent: its progress
 * @saved_percent: progress of its last checkpoint
 * @cost_ms: time until it runs again
 */
struct zr_speed_move {
	enum zr_speed_cause cause;
	float here_log2;
	float worker_log2;
	float there_log2;
	uint32_t usual_here_ms;
	uint32_t usual_there_ms;
	uint32_t percent;
	uint32_t saved_percent;
	uint32_t cost_ms;
};

/**
 * zr_speed_rest_here_ms() - time until a run ends if it stays
 *
 * A faulty worker is assumed to recover after some seconds.
 */
int64_t zr_speed_rest_here_ms(const struct zr_speed_move *move);
/** zr_speed_rest_there_ms() - time until the task ends if it is moved */
int64_t zr_speed_rest_there_ms(const struct zr_speed_move *move);
/** zr_speed_should_move() - whether the task ends well before if it is moved */
bool zr_speed_should_move(const struct zr_speed_move *move);

/** zr_speed_worker_log2() - speed of a worker when it is not faulty */
float zr_speed_worker_log2(const struct zr_speed_table *table,
			   const struct zr_worker_speed *speed, int64_t now);
/** zr_speed_band_log2() - speed in the middle of a band */
float zr_speed_band_log2(int band);

/**
 * struct zr_speed_need - what a step needs of its workers' speed
 * @usual_ms: usual run time of its tasks at speed 1
 * @longest_ms: expected time of the longest of them at speed 1
 * @left_ms: time left until the step should have ended
 * @urgent: it should end as soon as possible
 */
struct zr_speed_need {
	uint32_t usual_ms;
	uint32_t longest_ms;
	int64_t left_ms;
	bool urgent;
};

/**
 * zr_speed_wanted_band() - lowest band on which a step ends in time
 * @need: the step
 * @fastest: highest band of any worker
 *
 * Return: ZR_SPEED_BAND_MAX if the step should have the fastest workers.
 */
int zr_speed_wanted_band(const struct zr_speed_need *need, int fastest);

/** Number of bands; the first is ZR_SPEED_BAND_MIN. */
#define ZR_SPEED_BANDS (ZR_SPEED_BAND_MAX - ZR_SPEED_BAND_MIN + 1)

/**
 * zr_speed_gang_band() - band of the slowest workers that a gang should use
 * @slots: number of members that fit on the workers of each band
 * @members: number of members
 * @wanted: from zr_speed_wanted_band()
 *
 * A gang ends with its slowest member, so faster workers for the others are
 * wasted.
 *
 * Return: the lowest band from @wanted on that fits the whole gang; or else the
 * highest that fits it together with the bands above; @wanted if none does.
 */
int zr_speed_gang_band(const uint32_t slots[ZR_SPEED_BANDS], uint32_t members,
		       int wanted);

/**
 * zr_speed_order() - order in which a step should get workers
 * @band: band of the worker, minus zr_speed_far_bands() if it is far
 * @far: it is far from the step's data
 * @wanted: from zr_speed_wanted_band()
 *
 * Return: the lowest comes first; workers of the same value are equally good.
 * Workers on which the step ends in time come first, and of these the slowest,
 * which leaves fast ones to steps that need them; then the fastest of others.
 */
static inline int zr_speed_order(int band, bool far, int wanted)
{
	enum { SHORTFALL = 256, FAR = 64 };

	return band >= wanted ? band - wanted + far * FAR
			      : (wanted - band) * SHORTFALL + far * FAR;
}

#endif

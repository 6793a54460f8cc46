#ifndef ZR_CELL_POLICY_DEPARTURE_H
#define ZR_CELL_POLICY_DEPARTURE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Runs on a worker that is about to leave
 *
 * A worker that leaves ends its runs, and work that is not saved is lost. A run
 * that will end before may finish there. One that will not is stopped while its
 * checkpoint can still be saved, or at once if it saves none, so that it starts
 * again elsewhere without waiting for its lease to expire. The members of a
 * gang end together, so one that cannot finish decides for all.
 *
 * This is a decision only: it reads no clock and sends nothing. All times are
 * in milliseconds.
 */

/** Remaining time of a run that is not known. */
#define ZR_DEPARTURE_UNKNOWN (-1)

/**
 * struct zr_departure_run - progress of a run
 * @estimate_ms: run time as estimated by the submitter; 0: none
 * @elapsed_ms: time since its start was confirmed; 0 before
 * @percent: progress that the worker last reported, 0 to 100
 * @percent_elapsed_ms: value of @elapsed_ms when @percent last changed
 */
struct zr_departure_run {
	uint32_t estimate_ms;
	int64_t elapsed_ms;
	uint32_t percent;
	int64_t percent_elapsed_ms;
};

/**
 * zr_departure_remaining_ms() - time that a run still needs
 * @run: the run
 *
 * Return: the time by its progress, or by its estimate if it has reported too
 * little; ZR_DEPARTURE_UNKNOWN without either.
 */
int64_t zr_departure_remaining_ms(const struct zr_departure_run *run);

/**
 * struct zr_departure_view - a run, or a gang, with a part on a leaving worker
 * @remaining_ms: time that the run, or the longest member, still needs; or
 *	ZR_DEPARTURE_UNKNOWN
 * @left_ms: time until the worker leaves, 0 or more
 * @saves_checkpoints: the run saves a checkpoint when it is stopped
 * @stop_ms: time from a stop request until the checkpoint is saved
 */
struct zr_departure_view {
	int64_t remaining_ms;
	int64_t left_ms;
	bool saves_checkpoints;
	int64_t stop_ms;
};

/**
 * enum zr_departure_verdict - what to do with a run on a leaving worker
 * @ZR_DEPARTURE_CONTINUE: it may finish, or saves its checkpoint later
 * @ZR_DEPARTURE_SAVE: stop it now, so that its checkpoint is saved
 * @ZR_DEPARTURE_RESTART: stop it now, since it cannot finish and saves nothing
 */
enum zr_departure_verdict {
	ZR_DEPARTURE_CONTINUE,
	ZR_DEPARTURE_SAVE,
	ZR_DEPARTURE_RESTART,
};

enum zr_departure_verdict
zr_departure_decide(const struct zr_departure_view *view);

#endif

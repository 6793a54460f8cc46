#include "cell/policy/departure.h"

#define PERCENT 100
/* Below this progress, a rounded percentage says little about the speed. */
#define PROGRESS_MIN_PERCENT 10
/*
 * Remaining times are rough. A run is given up only if it needs this much more
 * than the time that is left, in percent: stopping one that would have finished
 * costs all its work.
 */
#define HOPELESS_PERCENT 150

static int64_t max_int64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

int64_t zr_departure_remaining_ms(const struct zr_departure_run *run)
{
	if (run->percent >= PERCENT)
		return 0;
	if (run->percent >= PROGRESS_MIN_PERCENT && run->percent_elapsed_ms)
		return max_int64(run->percent_elapsed_ms * PERCENT /
						 run->percent -
					 run->elapsed_ms,
				 0);
	if (!run->estimate_ms)
		return ZR_DEPARTURE_UNKNOWN;
	/*
	 * A run that has made no progress by the end of its estimate needs
	 * longer than estimated, not nothing.
	 */
	if (run->elapsed_ms >= run->estimate_ms)
		return run->estimate_ms;
	return run->estimate_ms - run->elapsed_ms;
}

enum zr_departure_verdict
zr_departure_decide(const struct zr_departure_view *view)
{
	bool known = view->remaining_ms != ZR_DEPARTURE_UNKNOWN;

	if (known && view->remaining_ms * HOPELESS_PERCENT / PERCENT <=
			     view->left_ms - view->stop_ms)
		return ZR_DEPARTURE_CONTINUE;
	if (view->saves_checkpoints && view->left_ms <= view->stop_ms)
		return ZR_DEPARTURE_SAVE;
	if (!known ||
	    view->remaining_ms <= view->left_ms * HOPELESS_PERCENT / PERCENT)
		return ZR_DEPARTURE_CONTINUE;
	return view->saves_checkpoints ? ZR_DEPARTURE_SAVE
				       : ZR_DEPARTURE_RESTART;
}

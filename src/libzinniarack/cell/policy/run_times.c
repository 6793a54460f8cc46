#include "run_times.h"

#include <stdlib.h>
#include <string.h>

/* Fewer runs than these say little about a class with a long tail. */
#define RUNS_MIN 20
#define RATIO_MAX_PERMILLE 1000000
#define PERMILLE 1000

void zr_run_times_add(struct zr_run_times *times, uint32_t estimate_ms,
		      int64_t run_ms)
{
	int64_t permille;

	if (!estimate_ms || run_ms < 0)
		return;
	permille = run_ms * PERMILLE / estimate_ms;
	if (permille > RATIO_MAX_PERMILLE)
		permille = RATIO_MAX_PERMILLE;
	times->permille[times->next] = permille ? (uint32_t)permille : 1;
	times->next = (times->next + 1) % ZR_RUN_TIMES_KEPT;
	if (times->count < ZR_RUN_TIMES_KEPT)
		times->count++;
}

static int by_value(const void *a, const void *b)
{
	uint32_t first = *(const uint32_t *)a;
	uint32_t second = *(const uint32_t *)b;

	return (first > second) - (first < second);
}

uint32_t zr_run_times_quantile(const struct zr_run_times *times,
			       unsigned int percent)
{
	uint32_t sorted[ZR_RUN_TIMES_KEPT];

	if (times->count < RUNS_MIN)
		return 0;
	memcpy(sorted, times->permille, times->count * sizeof(*sorted));
	qsort(sorted, times->count, sizeof(*sorted), by_value);
	return sorted[(times->count - 1) * percent / 100];
}

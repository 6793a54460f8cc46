#include <stdlib.h>

#include "decisions/driver.h"

void samples_add(struct samples *samples, uint32_t value)
{
	if (samples->count == samples->alloc) {
		samples->alloc = samples->alloc ? samples->alloc * 2 : 1024;
		samples->list = realloc(samples->list,
					samples->alloc * sizeof(uint32_t));
		if (!samples->list)
			abort();
	}
	samples->list[samples->count++] = value;
}

static int compare(const void *a, const void *b)
{
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	return (left > right) - (left < right);
}

uint32_t samples_percentile(struct samples *samples, uint32_t percent)
{
	uint64_t rank = (uint64_t)samples->count * percent;

	if (!samples->count)
		return 0;
	qsort(samples->list, samples->count, sizeof(*samples->list), compare);
	rank = (rank + 99) / 100;
	return samples->list[rank ? rank - 1 : 0];
}

void samples_clear(struct samples *samples)
{
	free(samples->list);
	*samples = (struct samples){0};
}

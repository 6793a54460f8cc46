#include "zinniarack/value_histogram.h"

/* Buckets per power of two. */
#define BUCKETS_PER_OCTAVE 4
#define PERMILLE 1000

static unsigned int bucket_of(uint64_t value)
{
	unsigned int octave;
	unsigned int bucket;

	if (value < BUCKETS_PER_OCTAVE)
		return (unsigned int)value;
	octave = 63 - (unsigned int)__builtin_clzll(value);
	bucket = (octave - 1) * BUCKETS_PER_OCTAVE +
		 (unsigned int)(value >> (octave - 2) &
				(BUCKETS_PER_OCTAVE - 1));
	return bucket < ZR_VALUE_HISTOGRAM_BUCKETS
		       ? bucket
		       : ZR_VALUE_HISTOGRAM_BUCKETS - 1;
}

/* Returns the highest value of a bucket. */
static uint64_t bucket_max(unsigned int bucket)
{
	unsigned int octave = bucket / BUCKETS_PER_OCTAVE + 1;

	if (bucket < BUCKETS_PER_OCTAVE)
		return bucket;
	return ((uint64_t)(BUCKETS_PER_OCTAVE + bucket % BUCKETS_PER_OCTAVE + 1)
		<< (octave - 2)) -
	       1;
}

void zr_value_histogram_add(struct zr_value_histogram *histogram,
			    uint64_t value, uint32_t total_max)
{
	unsigned int i;

	if (histogram->total >= total_max) {
		histogram->total = 0;
		for (i = 0; i < ZR_VALUE_HISTOGRAM_BUCKETS; i++) {
			histogram->counts[i] /= 2;
			histogram->total += histogram->counts[i];
		}
	}
	histogram->counts[bucket_of(value)]++;
	histogram->total++;
}

/*
 * Finds the bucket that holds a quantile. @before is set to the number of
 * values in the buckets before it.
 */
static unsigned int find_bucket(const struct zr_value_histogram *histogram,
				uint32_t permille, uint64_t *before)
{
	uint64_t wanted = (uint64_t)histogram->total * permille;
	uint64_t count = 0;
	unsigned int i;

	for (i = 0; i < ZR_VALUE_HISTOGRAM_BUCKETS - 1; i++) {
		if ((count + histogram->counts[i]) * PERMILLE >= wanted)
			break;
		count += histogram->counts[i];
	}
	*before = count;
	return i;
}

uint64_t zr_value_histogram_upper(const struct zr_value_histogram *histogram,
				  uint32_t permille)
{
	uint64_t before;

	return bucket_max(find_bucket(histogram, permille, &before));
}

uint64_t zr_value_histogram_quantile(const struct zr_value_histogram *histogram,
				     uint32_t permille)
{
	uint64_t before;
	unsigned int bucket;
	uint64_t low;
	uint64_t width;
	uint64_t rest;

	if (!histogram->total)
		return 0;
	bucket = find_bucket(histogram, permille, &before);
	if (!histogram->counts[bucket])
		return bucket_max(bucket);
	low = bucket ? bucket_max(bucket - 1) + 1 : 0;
	width = bucket_max(bucket) + 1 - low;
	rest = (uint64_t)histogram->total * permille - before * PERMILLE;
	return low + width * rest / PERMILLE / histogram->counts[bucket];
}

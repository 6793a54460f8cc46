#ifndef ZINNIARACK_VALUE_HISTOGRAM_H
#define ZINNIARACK_VALUE_HISTOGRAM_H

#include <stdint.h>

/**
 * DOC: Histogram of values
 *
 * Counts values in logarithmic buckets, four for each power of two, from which
 * quantiles are read. Older values weigh less: when the total reaches a limit,
 * all counts are halved.
 */

/** Number of buckets of a histogram. */
#define ZR_VALUE_HISTOGRAM_BUCKETS 112

/**
 * struct zr_value_histogram - a histogram with logarithmic buckets
 * @counts: number of values by bucket
 * @total: sum of @counts
 */
struct zr_value_histogram {
	uint16_t counts[ZR_VALUE_HISTOGRAM_BUCKETS];
	uint32_t total;
};

/**
 * zr_value_histogram_add() - add a value
 * @histogram: the histogram
 * @value: the value
 * @total_max: total at which the counts are halved before the value is added;
 *	at most UINT16_MAX
 */
void zr_value_histogram_add(struct zr_value_histogram *histogram,
			    uint64_t value, uint32_t total_max);

/**
 * zr_value_histogram_upper() - upper bound of a quantile
 * @histogram: the histogram
 * @permille: the quantile, in thousandths
 *
 * Return: the highest value of the bucket that holds the quantile.
 */
uint64_t zr_value_histogram_upper(const struct zr_value_histogram *histogram,
				  uint32_t permille);

/**
 * zr_value_histogram_quantile() - a quantile, interpolated within its bucket
 * @histogram: the histogram
 * @permille: the quantile, in thousandths
 *
 * Return: the value; 0 if the histogram is empty.
 */
uint64_t zr_value_histogram_quantile(const struct zr_value_histogram *histogram,
				     uint32_t permille);

#endif

#ifndef ZINNIARACK_METRICS_H
#define ZINNIARACK_METRICS_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Metrics
 *
 * Counters, gauges and bucketed histograms of this process. Modules keep the
 * pointer that registration returns and update it directly. The text form is
 * the Prometheus exposition format.
 */

struct zr_metrics;

/** A counter (only raised) or a gauge (set to a level). */
struct zr_metric {
	int64_t value;
};

/** Upper bounds of a histogram's buckets, in milliseconds. */
#define ZR_HISTOGRAM_BUCKETS 14

/**
 * struct zr_histogram - a distribution of durations
 * @counts: observations per bucket; the last counts those above all bounds
 * @sum_ms: sum of all observations, in milliseconds
 */
struct zr_histogram {
	uint64_t counts[ZR_HISTOGRAM_BUCKETS + 1];
	double sum_ms;
};

int zr_metrics_new(struct zr_metrics **out);
void zr_metrics_free(struct zr_metrics *metrics);

/**
 * zr_metrics_get_or_add_counter() - register a counter or find it again
 * @metrics: the registry
 * @name: `zinniarack_<module>_<what>_total`
 * @labels: `name="value"` pairs, or NULL
 * @help: one line for operators
 *
 * Return: the counter, which lives as long as the registry.
 */
struct zr_metric *zr_metrics_get_or_add_counter(struct zr_metrics *metrics,
						const char *name,
						const char *labels,
						const char *help);

/** zr_metrics_get_or_add_gauge() - as zr_metrics_get_or_add_counter(), for a
 * level */
struct zr_metric *zr_metrics_get_or_add_gauge(struct zr_metrics *metrics,
					      const char *name,
					      const char *labels,
					      const char *help);

/** zr_metrics_get_or_add_histogram() - as zr_metrics_get_or_add_counter(), for
 * durations
 */
struct zr_histogram *zr_metrics_get_or_add_histogram(struct zr_metrics *metrics,
						     const char *name,
						     const char *labels,
						     const char *help);

/**
 * zr_histogram_observe() - count one duration
 * @histogram: the histogram
 * @ms: the duration in milliseconds
 */
void zr_histogram_observe(struct zr_histogram *histogram, double ms);

/**
 * zr_metrics_format() - all metrics in the Prometheus exposition format
 * @out: the text, to be freed with free()
 * @out_length: its length in bytes
 * @metrics: the registry
 *
 * Return: 0, or ZR_E_NOMEM.
 */
int zr_metrics_format(char **out, size_t *out_length,
		      const struct zr_metrics *metrics);

#endif

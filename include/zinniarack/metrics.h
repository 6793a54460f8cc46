#ifndef ZINNIARACK_METRICS_H
#define ZINNIARACK_METRICS_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Metrics
 *
 * A registry holds the counters, gauges and histograms of the process. A module
 * registers a metric, keeps the pointer that it gets and updates the metric
 * through it. zr_metrics_format() writes all metrics in the Prometheus
 * exposition format.
 */

struct zr_metrics;

/**
 * struct zr_metric - a counter or a gauge
 * @value: current value; that of a counter must never decrease
 */
struct zr_metric {
	int64_t value;
};

/** Number of histogram buckets that have an upper bound. */
#define ZR_HISTOGRAM_BUCKETS 14

/**
 * struct zr_histogram - distribution of durations
 * @counts: number of observations in each bucket; the last bucket holds those
 *	above all upper bounds
 * @sum_ms: sum of all observations, in milliseconds
 */
struct zr_histogram {
	uint64_t counts[ZR_HISTOGRAM_BUCKETS + 1];
	double sum_ms;
};

/**
 * zr_metrics_new() - create an empty registry
 * @out: receives the registry, to be freed with zr_metrics_free()
 *
 * Return: 0, or ZR_E_NOMEM.
 */
int zr_metrics_new(struct zr_metrics **out);

/**
 * zr_metrics_free() - free a registry and all its metrics
 * @metrics: the registry, or NULL
 */
void zr_metrics_free(struct zr_metrics *metrics);

/**
 * zr_metrics_get_or_add_counter() - get a counter, registering it if needed
 * @metrics: the registry
 * @name: metric name, of the form `zinniarack_<module>_<what>_total`
 * @labels: comma-separated `name="value"` pairs, or NULL
 * @help: one line that describes the metric to operators
 *
 * Return: the counter with this name and these labels, valid until the registry
 * is freed.
 */
struct zr_metric *zr_metrics_get_or_add_counter(struct zr_metrics *metrics,
						const char *name,
						const char *labels,
						const char *help);

/** zr_metrics_get_or_add_gauge() - as zr_metrics_get_or_add_counter() */
struct zr_metric *zr_metrics_get_or_add_gauge(struct zr_metrics *metrics,
					      const char *name,
					      const char *labels,
					      const char *help);

/** zr_metrics_get_or_add_histogram() - as zr_metrics_get_or_add_counter() */
struct zr_histogram *zr_metrics_get_or_add_histogram(struct zr_metrics *metrics,
						     const char *name,
						     const char *labels,
						     const char *help);

/**
 * zr_histogram_observe() - add a duration to a histogram
 * @histogram: the histogram
 * @ms: the duration in milliseconds
 */
void zr_histogram_observe(struct zr_histogram *histogram, double ms);

/**
 * zr_metrics_format() - format all metrics in the Prometheus exposition format
 * @out: receives the text, to be freed with free()
 * @out_length: receives the length of the text in bytes
 * @metrics: the registry
 *
 * Return: 0, or ZR_E_NOMEM.
 */
int zr_metrics_format(char **out, size_t *out_length,
		      const struct zr_metrics *metrics);

#endif

#include "zinniarack/metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utstring.h>

#include "zinniarack/errors.h"

enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
};

struct entry {
	struct entry *next;
	enum metric_kind kind;
	char *name;
	char *labels;
	char *help;
	union {
		struct zr_metric metric;
		struct zr_histogram histogram;
	} data;
};

struct zr_metrics {
	struct entry *first;
	struct entry **tail;
};

static const double bucket_upper_bounds_ms[ZR_HISTOGRAM_BUCKETS] = {
	0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 50, 100, 250, 1000, 3500, 10000,
};

int zr_metrics_new(struct zr_metrics **out)
{
	struct zr_metrics *metrics = calloc(1, sizeof(*metrics));

	if (!metrics)
		return ZR_E_NOMEM;
	metrics->tail = &metrics->first;
	*out = metrics;
	return 0;
}

static void free_entry(struct entry *entry)
{
	free(entry->name);
	free(entry->labels);
	free(entry->help);
	free(entry);
}

void zr_metrics_free(struct zr_metrics *metrics)
{
	struct entry *entry;
	struct entry *next;

	if (!metrics)
		return;
	for (entry = metrics->first; entry; entry = next) {
		next = entry->next;
		free_entry(entry);
	}
	free(metrics);
}

static struct entry *find_entry(struct zr_metrics *metrics, const char *name,
				const char *labels)
{
	struct entry *entry;

	for (entry = metrics->first; entry; entry = entry->next) {
		if (!strcmp(entry->name, name) &&
		    !strcmp(entry->labels, labels))
			return entry;
	}
	return NULL;
}

static struct entry *create_entry(enum metric_kind kind, const char *name,
				  const char *labels, const char *help)
{
	struct entry *entry = calloc(1, sizeof(*entry));

	if (!entry)
		abort();
	entry->kind = kind;
	entry->name = strdup(name);
	entry->labels = strdup(labels);
	entry->help = strdup(help);
	if (!entry->name || !entry->labels || !entry->help)
		abort();
	return entry;
}

/*
 * Inserts an entry after the last one of the same name: the exposition format
 * requires all lines of a metric to be together.
 */
static void insert_entry(struct zr_metrics *metrics, struct entry *new_entry)
{
	struct entry *entry;
	struct entry *last_with_name = NULL;

	for (entry = metrics->first; entry; entry = entry->next) {
		if (!strcmp(entry->name, new_entry->name))
			last_with_name = entry;
	}
	if (last_with_name && last_with_name->next) {
		new_entry->next = last_with_name->next;
		last_with_name->next = new_entry;
		return;
	}
	*metrics->tail = new_entry;
	metrics->tail = &new_entry->next;
}

static struct entry *get_or_add_entry(struct zr_metrics *metrics,
				      enum metric_kind kind, const char *name,
				      const char *labels, const char *help)
{
	struct entry *entry;

	if (!labels)
		labels = "";
	entry = find_entry(metrics, name, labels);
	if (entry)
		return entry;
	entry = create_entry(kind, name, labels, help);
	insert_entry(metrics, entry);
	return entry;
}

struct zr_metric *zr_metrics_get_or_add_counter(struct zr_metrics *metrics,
						const char *name,
						const char *labels,
						const char *help)
{
	return &get_or_add_entry(metrics, METRIC_COUNTER, name, labels, help)
			->data.metric;
}

struct zr_metric *zr_metrics_get_or_add_gauge(struct zr_metrics *metrics,
					      const char *name,
					      const char *labels,
					      const char *help)
{
	return &get_or_add_entry(metrics, METRIC_GAUGE, name, labels, help)
			->data.metric;
}

struct zr_histogram *zr_metrics_get_or_add_histogram(struct zr_metrics *metrics,
						     const char *name,
						     const char *labels,
						     const char *help)
{
	return &get_or_add_entry(metrics, METRIC_HISTOGRAM, name, labels, help)
			->data.histogram;
}

void zr_histogram_observe(struct zr_histogram *histogram, double ms)
{
	int i;

	for (i = 0; i < ZR_HISTOGRAM_BUCKETS; i++) {
		if (ms <= bucket_upper_bounds_ms[i])
			break;
	}
	histogram->counts[i]++;
	histogram->sum_ms += ms;
}

static void format_histogram(UT_string *text, const struct entry *entry)
{
	const struct zr_histogram *histogram = &entry->data.histogram;
	const char *comma = *entry->labels ? "," : "";
	uint64_t cumulative_count = 0;
	int i;

	for (i = 0; i < ZR_HISTOGRAM_BUCKETS; i++) {
		cumulative_count += histogram->counts[i];
		utstring_printf(text, "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n",
				entry->name, entry->labels, comma,
				bucket_upper_bounds_ms[i], cumulative_count);
	}
	cumulative_count += histogram->counts[ZR_HISTOGRAM_BUCKETS];
	utstring_printf(text, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
			entry->name, entry->labels, comma, cumulative_count);
	utstring_printf(text, "%s_sum{%s} %g\n", entry->name, entry->labels,
			histogram->sum_ms);
	utstring_printf(text, "%s_count{%s} %" PRIu64 "\n", entry->name,
			entry->labels, cumulative_count);
}

static void format_entry(UT_string *text, const struct entry *entry)
{
	if (entry->kind == METRIC_HISTOGRAM)
		format_histogram(text, entry);
	else if (*entry->labels)
		utstring_printf(text, "%s{%s} %" PRId64 "\n", entry->name,
				entry->labels, entry->data.metric.value);
	else
		utstring_printf(text, "%s %" PRId64 "\n", entry->name,
				entry->data.metric.value);
}

int zr_metrics_format(char **out, size_t *out_length,
		      const struct zr_metrics *metrics)
{
	static const char *const kinds[] = {"counter", "gauge", "histogram"};
	const struct entry *entry;
	const char *previous = "";
	UT_string text;

	utstring_init(&text);
	for (entry = metrics->first; entry; entry = entry->next) {
		if (strcmp(previous, entry->name))
			utstring_printf(&text, "# HELP %s %s\n# TYPE %s %s\n",
					entry->name, entry->help, entry->name,
					kinds[entry->kind]);
		previous = entry->name;
		format_entry(&text, entry);
	}
	*out_length = utstring_len(&text);
	*out = utstring_body(&text);
	return 0;
}

#ifndef ZR_CELL_ADVICE_H
#define ZR_CELL_ADVICE_H

#include "cell/model.h"
#include "cell/scheduler.h"

/**
 * DOC: Adviser proxies
 *
 * A proxy is a host of the cell through which the scheduler queries the
 * placement adviser. The adviser processes one query at a time from each host,
 * so the number of proxies limits the number of parallel queries. Long queries
 * leave a few proxies idle for short ones.
 */

/**
 * struct zr_cell_adviser_proxy_state - state of a proxy
 * @proxy: the proxy
 * @busy: a query is pending
 * @removed: it is not in the current list of proxies
 * @backoff_until: not used until then, in milliseconds, after a failed query
 * @failures: number of consecutive queries that failed
 */
struct zr_cell_adviser_proxy_state {
	struct zr_cell_adviser_proxy proxy;
	bool busy;
	bool removed;
	int64_t backoff_until;
	uint32_t failures;
};

/** Maximum number of queues with a recorded permit rate. */
#define ZR_CELL_PERMIT_RATES_MAX 32

/**
 * struct zr_cell_permit_rate - share of workers permitted for a queue
 * @queue: name of the queue
 * @permille: permitted workers per 1000 named in queries, smoothed
 */
struct zr_cell_permit_rate {
	char queue[ZR_NAME_MAX];
	double permille;
};

/**
 * struct zr_cell_advice - proxies and permit rates
 * @proxies: the proxies, allocated separately, because pending queries refer to
 *           them; removed ones are freed once they are idle
 * @count: number of entries in @proxies
 * @alloc: allocated length of @proxies
 * @permit_rates: permit rates of queues
 * @permit_rate_count: number of entries in @permit_rates
 * @queries: queries sent
 * @failed_queries: queries that failed
 * @answer_ms: time until a query was answered or failed
 */
struct zr_cell_advice {
	struct zr_cell_adviser_proxy_state **proxies;
	size_t count;
	size_t alloc;
	struct zr_cell_permit_rate permit_rates[ZR_CELL_PERMIT_RATES_MAX];
	size_t permit_rate_count;
	struct zr_metric *queries;
	struct zr_metric *failed_queries;
	struct zr_histogram *answer_ms;
};

/** zr_cell_advice_set_proxies() - replace the list of proxies */
void zr_cell_advice_set_proxies(struct zr_cell_advice *advice,
				const struct zr_cell_adviser_proxy *proxies,
				size_t count);

/** zr_cell_advice_clear() - free the proxies; no query may be pending */
void zr_cell_advice_clear(struct zr_cell_advice *advice);

/** zr_cell_advice_query_ms() - duration expected for @count workers */
uint32_t zr_cell_advice_query_ms(const struct zr_cell_queue *queue,
				 size_t count);

/**
 * zr_cell_advice_pick_proxy() - choose an idle proxy for a query
 * @advice: the proxies
 * @now: the current time in milliseconds
 * @query_ms: expected duration of the query
 *
 * Return: the proxy, or NULL if too few are idle for a query of that duration.
 */
struct zr_cell_adviser_proxy_state *
zr_cell_advice_pick_proxy(struct zr_cell_advice *advice, int64_t now,
			  uint32_t query_ms);

/** zr_cell_advice_idle_count() - number of proxies that are idle and usable */
size_t zr_cell_advice_idle_count(const struct zr_cell_advice *advice,
				 int64_t now);

/**
 * zr_cell_advice_chunk_size() - number of workers to name in one query
 * @advice: the proxies
 * @now: the current time in milliseconds
 * @count: number of workers that a step has to query about
 *
 * Return: @count, or less if it is faster to send several queries at once.
 */
size_t zr_cell_advice_chunk_size(const struct zr_cell_advice *advice,
				 int64_t now, size_t count);

/**
 * zr_cell_advice_record_answer() - update the permit rate of a queue
 * @advice: the permit rates
 * @queue: name of the queue
 * @named: number of workers named in the query
 * @permitted: number of workers permitted in the answer
 */
void zr_cell_advice_record_answer(struct zr_cell_advice *advice,
				  const char *queue, size_t named,
				  size_t permitted);

/** zr_cell_advice_permitted_permille() - expected permits per 1000 workers */
uint32_t zr_cell_advice_permitted_permille(const struct zr_cell_advice *advice,
					   const char *queue);

#endif

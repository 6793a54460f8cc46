#ifndef ZR_CELL_ADVICE_H
#define ZR_CELL_ADVICE_H

#include "cell/model.h"
#include "cell/scheduler.h"

/**
 * DOC: Questions to the placement adviser
 *
 * The adviser answers one question at a time from each host, so hosts are what
 * is scarce. Long questions never take the last hosts, which are left to short
 * ones.
 */

/** Most hosts through which the adviser is asked. */
#define ZR_CELL_PROXIES_MAX 64

/** struct zr_cell_adviser_proxy_state - a helper and what it is doing */
struct zr_cell_adviser_proxy_state {
	struct zr_cell_adviser_proxy helper;
	bool busy;
	bool gone;
	int64_t backoff_until;
	uint32_t failures;
};

/** Queues of which the share of permitted workers is learned. */
#define ZR_CELL_SHARES_MAX 32

/** struct zr_cell_permit_rate - which part of the workers a queue is permitted
 */
struct zr_cell_permit_rate {
	char queue[ZR_NAME_MAX];
	double permille;
};

/** struct zr_cell_advice - the helpers, and what was learned */
struct zr_cell_advice {
	struct zr_cell_adviser_proxy_state proxies[ZR_CELL_PROXIES_MAX];
	size_t count;
	struct zr_cell_permit_rate shares[ZR_CELL_SHARES_MAX];
	size_t share_count;
	struct zr_metric *asked;
	struct zr_metric *failed;
	struct zr_histogram *answer_ms;
};

/** zr_cell_advice_set_proxies() - hosts that can ask from now on */
void zr_cell_advice_set_proxies(struct zr_cell_advice *advice,
				const struct zr_cell_adviser_proxy *helpers,
				size_t count);

/** zr_cell_advice_query_ms() - how long a question about @count workers takes
 */
uint32_t zr_cell_advice_query_ms(const struct zr_cell_queue *queue,
				 size_t count);

/**
 * zr_cell_advice_pick_proxy() - an idle helper for a question
 * @advice: the helpers
 * @now: the time
 * @question_ms: how long the question takes
 *
 * Return: the helper, or NULL while those that are idle must stay so.
 */
struct zr_cell_adviser_proxy_state *
zr_cell_advice_pick_proxy(struct zr_cell_advice *advice, int64_t now,
			  uint32_t question_ms);

/** zr_cell_advice_idle_count() - helpers that could be asked now */
size_t zr_cell_advice_idle_count(const struct zr_cell_advice *advice,
				 int64_t now);

/** zr_cell_advice_record_answer() - of @named workers @permitted may run a step
 */
void zr_cell_advice_record_answer(struct zr_cell_advice *advice,
				  const char *queue, size_t named,
				  size_t permitted);

/** zr_cell_advice_permitted_permille() - permitted part of the workers, in
 * permille */
uint32_t zr_cell_advice_permitted_permille(const struct zr_cell_advice *advice,
					   const char *queue);

#endif

#include "cell/advice.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000
/*
 * Queries expected to take this long or longer leave some proxies idle for
 * shorter ones.
 */
#define LONG_QUERY_MS 200
#define MEDIUM_QUERY_MS 40
/* Number of proxies that long and medium queries leave idle. */
#define LONG_QUERY_IDLE_MIN 3
#define MEDIUM_QUERY_IDLE_MIN 1
/*
 * A long list of workers is split over several proxies: one chunk for every
 * CHUNKS_MAX idle proxies, at most CHUNKS_MAX chunks, and at least CHUNK_MIN
 * workers in each. Each chunk takes the adviser the fixed time of a query once
 * more, so nothing is split unless half of the proxies are idle.
 */
#define CHUNK_MIN 24
#define CHUNKS_MAX 4
/* Permit rate assumed for a queue without answers, and the lower bound. */
#define RATE_UNKNOWN 350
#define RATE_MIN 80
#define PERMILLE 1000
/* The weight of a new answer in the permit rate is 1 / this. */
#define SMOOTHING_DIVISOR 16

uint32_t zr_cell_advice_query_ms(const struct zr_cell_queue *queue,
				 size_t count)
{
	return queue->advise_ms +
	       (uint32_t)(queue->advise_worker_us * count / US_PER_MS);
}

static struct zr_cell_adviser_proxy_state *
find_proxy(struct zr_cell_advice *advice, const char *name)
{
	size_t i;

	for (i = 0; i < advice->count; i++) {
		if (!strcmp(advice->proxies[i]->proxy.name, name))
			return advice->proxies[i];
	}
	return NULL;
}

static struct zr_cell_adviser_proxy_state *
new_proxy(struct zr_cell_advice *advice)
{
	struct zr_cell_adviser_proxy_state *state = calloc(1, sizeof(*state));

	if (advice->count == advice->alloc) {
		advice->alloc = advice->alloc ? 2 * advice->alloc : 16;
		advice->proxies = realloc(advice->proxies,
					  advice->alloc * sizeof(void *));
	}
	if (!state || !advice->proxies)
		abort();
	advice->proxies[advice->count++] = state;
	return state;
}

/* Frees removed proxies, except those with a pending query. */
static void free_removed(struct zr_cell_advice *advice)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < advice->count; i++) {
		struct zr_cell_adviser_proxy_state *state = advice->proxies[i];

		if (state->removed && !state->busy)
			free(state);
		else
			advice->proxies[kept++] = state;
	}
	advice->count = kept;
}

void zr_cell_advice_set_proxies(struct zr_cell_advice *advice,
				const struct zr_cell_adviser_proxy *proxies,
				size_t count)
{
	struct zr_cell_adviser_proxy_state *state;
	size_t i;

	for (i = 0; i < advice->count; i++)
		advice->proxies[i]->removed = true;
	for (i = 0; i < count; i++) {
		state = find_proxy(advice, proxies[i].name);
		if (!state)
			state = new_proxy(advice);
		state->proxy = proxies[i];
		state->removed = false;
	}
	free_removed(advice);
}

void zr_cell_advice_clear(struct zr_cell_advice *advice)
{
	size_t i;

	for (i = 0; i < advice->count; i++)
		free(advice->proxies[i]);
	free(advice->proxies);
	advice->proxies = NULL;
	advice->count = 0;
	advice->alloc = 0;
}

/* Number of proxies that a query must leave idle. */
static size_t min_idle_proxies(size_t proxies, uint32_t query_ms)
{
	size_t min_idle = 0;

	if (query_ms >= LONG_QUERY_MS)
		min_idle = LONG_QUERY_IDLE_MIN;
	else if (query_ms >= MEDIUM_QUERY_MS)
		min_idle = MEDIUM_QUERY_IDLE_MIN;
	/* At most half of the proxies, so that long queries are not starved. */
	return min_idle < proxies / 2 ? min_idle : proxies / 2;
}

struct zr_cell_adviser_proxy_state *
zr_cell_advice_pick_proxy(struct zr_cell_advice *advice, int64_t now,
			  uint32_t query_ms)
{
	struct zr_cell_adviser_proxy_state *best = NULL;
	size_t usable = 0;
	size_t idle = 0;
	size_t i;

	for (i = 0; i < advice->count; i++) {
		struct zr_cell_adviser_proxy_state *state = advice->proxies[i];

		if (state->removed || now < state->backoff_until)
			continue;
		usable++;
		if (state->busy)
			continue;
		idle++;
		if (!best || state->failures < best->failures)
			best = state;
	}
	return idle > min_idle_proxies(usable, query_ms) ? best : NULL;
}

size_t zr_cell_advice_idle_count(const struct zr_cell_advice *advice,
				 int64_t now)
{
	size_t idle = 0;
	size_t i;

	for (i = 0; i < advice->count; i++) {
		const struct zr_cell_adviser_proxy_state *state =
			advice->proxies[i];

		if (!state->removed && !state->busy &&
		    now >= state->backoff_until)
			idle++;
	}
	return idle;
}

size_t zr_cell_advice_chunk_size(const struct zr_cell_advice *advice,
				 int64_t now, size_t count)
{
	size_t idle = zr_cell_advice_idle_count(advice, now);
	size_t chunks = 2 * idle < advice->count ? 1 : idle / CHUNKS_MAX;

	if (chunks > CHUNKS_MAX)
		chunks = CHUNKS_MAX;
	if (chunks > count / CHUNK_MIN)
		chunks = count / CHUNK_MIN;
	if (!chunks)
		chunks = 1;
	count = (count + chunks - 1) / chunks;
	return count < ZR_CELL_ADVISE_MAX ? count : ZR_CELL_ADVISE_MAX;
}

static const struct zr_cell_permit_rate *
find_permit_rate(const struct zr_cell_advice *advice, const char *queue)
{
	size_t i;

	for (i = 0; i < advice->permit_rate_count; i++) {
		if (!strcmp(advice->permit_rates[i].queue, queue))
			return &advice->permit_rates[i];
	}
	return NULL;
}

void zr_cell_advice_record_answer(struct zr_cell_advice *advice,
				  const char *queue, size_t named,
				  size_t permitted)
{
	struct zr_cell_permit_rate *rate =
		(struct zr_cell_permit_rate *)find_permit_rate(advice, queue);
	double permille =
		named ? (double)permitted * PERMILLE / (double)named : 0;

	if (!named)
		return;
	if (!rate) {
		if (advice->permit_rate_count == ZR_CELL_PERMIT_RATES_MAX)
			return;
		rate = &advice->permit_rates[advice->permit_rate_count++];
		snprintf(rate->queue, sizeof(rate->queue), "%s", queue);
		rate->permille = permille;
		return;
	}
	rate->permille += (permille - rate->permille) / SMOOTHING_DIVISOR;
}

uint32_t zr_cell_advice_permitted_permille(const struct zr_cell_advice *advice,
					   const char *queue)
{
	const struct zr_cell_permit_rate *rate =
		find_permit_rate(advice, queue);

	if (!rate)
		return RATE_UNKNOWN;
	return rate->permille < RATE_MIN ? RATE_MIN : (uint32_t)rate->permille;
}

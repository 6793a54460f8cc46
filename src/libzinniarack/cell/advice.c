#include "cell/advice.h"

#include <stdio.h>
#include <string.h>

#define US_PER_MS 1000
/* Questions of at least this length leave hosts to shorter ones. */
#define LONG_QUESTION_MS 200
#define MEDIUM_QUESTION_MS 40
/* Hosts that long and medium questions leave idle. */
#define SPARED_BY_LONG 3
#define SPARED_BY_MEDIUM 1
/* Share assumed of a queue of which nothing is known, and the least believed.
 */
#define SHARE_UNKNOWN 350
#define SHARE_MIN 80
#define PERMILLE 1000
/* Part of a new answer in the learned share. */
#define SHARE_SMOOTHING 16

uint32_t zr_cell_advice_query_ms(const struct zr_cell_queue *queue,
				 size_t count)
{
	return queue->advise_ms +
	       (uint32_t)(queue->advise_worker_us * count / US_PER_MS);
}

static struct zr_cell_adviser_proxy_state *find(struct zr_cell_advice *advice,
						const char *name)
{
	size_t i;

	for (i = 0; i < advice->count; i++) {
		if (!strcmp(advice->proxies[i].helper.name, name))
			return &advice->proxies[i];
	}
	return NULL;
}

/* A row with an open question stays where its answer finds it. */
static struct zr_cell_adviser_proxy_state *
new_row(struct zr_cell_advice *advice)
{
	size_t i;

	for (i = 0; i < advice->count; i++) {
		if (advice->proxies[i].gone && !advice->proxies[i].busy)
			return &advice->proxies[i];
	}
	if (advice->count == ZR_CELL_PROXIES_MAX)
		return NULL;
	return &advice->proxies[advice->count++];
}

void zr_cell_advice_set_proxies(struct zr_cell_advice *advice,
				const struct zr_cell_adviser_proxy *helpers,
				size_t count)
{
	struct zr_cell_adviser_proxy_state *row;
	size_t i;

	for (i = 0; i < advice->count; i++)
		advice->proxies[i].gone = true;
	for (i = 0; i < count; i++) {
		row = find(advice, helpers[i].name);
		if (!row) {
			row = new_row(advice);
			if (!row)
				return;
			memset(row, 0, sizeof(*row));
		}
		row->helper = helpers[i];
		row->gone = false;
	}
}

static size_t spared(size_t helpers, uint32_t question_ms)
{
	size_t spare = 0;

	if (question_ms >= LONG_QUESTION_MS)
		spare = SPARED_BY_LONG;
	else if (question_ms >= MEDIUM_QUESTION_MS)
		spare = SPARED_BY_MEDIUM;
	/* With few hosts, sparing must not shut long questions out. */
	return spare < helpers / 2 ? spare : helpers / 2;
}

struct zr_cell_adviser_proxy_state *
zr_cell_advice_pick_proxy(struct zr_cell_advice *advice, int64_t now,
			  uint32_t question_ms)
{
	struct zr_cell_adviser_proxy_state *best = NULL;
	size_t usable = 0;
	size_t idle = 0;
	size_t i;

	for (i = 0; i < advice->count; i++) {
		struct zr_cell_adviser_proxy_state *row = &advice->proxies[i];

		if (row->gone || now < row->backoff_until)
			continue;
		usable++;
		if (row->busy)
			continue;
		idle++;
		if (!best || row->failures < best->failures)
			best = row;
	}
	return idle > spared(usable, question_ms) ? best : NULL;
}

size_t zr_cell_advice_idle_count(const struct zr_cell_advice *advice,
				 int64_t now)
{
	size_t idle = 0;
	size_t i;

	for (i = 0; i < advice->count; i++) {
		const struct zr_cell_adviser_proxy_state *row =
			&advice->proxies[i];

		if (!row->gone && !row->busy && now >= row->backoff_until)
			idle++;
	}
	return idle;
}

static const struct zr_cell_permit_rate *
find_share(const struct zr_cell_advice *advice, const char *queue)
{
	size_t i;

	for (i = 0; i < advice->share_count; i++) {
		if (!strcmp(advice->shares[i].queue, queue))
			return &advice->shares[i];
	}
	return NULL;
}

void zr_cell_advice_record_answer(struct zr_cell_advice *advice,
				  const char *queue, size_t named,
				  size_t permitted)
{
	struct zr_cell_permit_rate *share =
		(struct zr_cell_permit_rate *)find_share(advice, queue);
	double part = named ? (double)permitted * PERMILLE / (double)named : 0;

	if (!named)
		return;
	if (!share) {
		if (advice->share_count == ZR_CELL_SHARES_MAX)
			return;
		share = &advice->shares[advice->share_count++];
		snprintf(share->queue, sizeof(share->queue), "%s", queue);
		share->permille = part;
		return;
	}
	share->permille += (part - share->permille) / SHARE_SMOOTHING;
}

uint32_t zr_cell_advice_permitted_permille(const struct zr_cell_advice *advice,
					   const char *queue)
{
	const struct zr_cell_permit_rate *share = find_share(advice, queue);

	if (!share)
		return SHARE_UNKNOWN;
	return share->permille < SHARE_MIN ? SHARE_MIN
					   : (uint32_t)share->permille;
}

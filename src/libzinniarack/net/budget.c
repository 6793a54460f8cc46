#include "net/budget.h"

#include <inttypes.h>
#include <malloc.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <uv.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define DEFAULT_BYTES_MAX ((uint64_t)32 << 20)
#define DEFAULT_DIVISOR 4
/* Part of the descriptors that accepted connections may use. */
#define DESCRIPTORS_PERCENT 75
/* Part of these by which connections that are being closed may exceed them. */
#define CLOSING_DIVISOR 8
/* Accounts of at most this many bytes are reclaimed last. */
#define SMALL_BYTES 16384
/* Moving this many bytes counts as progress. */
#define PROGRESS_BYTES 4096
#define LOG_INTERVAL_MS 1000
/* Larger blocks are returned to the system as soon as they are freed. */
#define LARGE_BLOCK_BYTES 131072

struct account {
	enum zr_net_class class;
	enum zr_net_state state;
	size_t bytes;
	uint64_t moved;	   /* bytes moved until its last progress */
	uint64_t progress; /* number of that progress among those of all */
	bool is_reclaimed;
	zr_net_reclaim_fn reclaim;
	void *ctx;
};

struct zr_net_budget {
	struct zr_table *accounts;
	size_t bytes;
	size_t connections;
	size_t used;
	size_t used_by_peers;
	size_t reclaimed; /* by connections that are not closed yet */
	uint64_t progress;
	const struct zr_clock *clock;
	struct timespec logged_at;
	struct zr_metric *used_metric;
	struct zr_metric *reclaims;
};

/* An account that can be reclaimed, with what decides when. */
struct candidate {
	zr_handle account;
	bool is_small;
	enum zr_net_state state;
	bool is_preferred; /* it belongs to the class that is kept */
	uint64_t progress;
};

static uint64_t min_limit(uint64_t limit, uint64_t other)
{
	return other && other < limit ? other : limit;
}

static uint64_t resource_limit(int resource)
{
	struct rlimit limit;

	if (getrlimit((__rlimit_resource_t)resource, &limit) ||
	    limit.rlim_cur == RLIM_INFINITY)
		return 0;
	return limit.rlim_cur;
}

size_t zr_net_budget_default(void)
{
	uint64_t memory = uv_get_total_memory();
	uint64_t bytes;

	memory = min_limit(memory, uv_get_constrained_memory());
	memory = min_limit(memory, resource_limit(RLIMIT_AS));
	memory = min_limit(memory, resource_limit(RLIMIT_DATA));
	bytes = min_limit(memory / DEFAULT_DIVISOR, DEFAULT_BYTES_MAX);
	return bytes > ZR_NET_BUDGET_MIN ? bytes : ZR_NET_BUDGET_MIN;
}

int zr_net_budget_new(struct zr_net_budget **out, size_t bytes,
		      const struct zr_clock *clock, struct zr_metrics *metrics)
{
	struct zr_net_budget *budget = calloc(1, sizeof(*budget));

	if (!budget)
		return ZR_E_NOMEM;
	if (zr_table_new(&budget->accounts, sizeof(struct account)) < 0) {
		free(budget);
		return ZR_E_NOMEM;
	}
	budget->clock = clock;
	budget->bytes = bytes ? bytes : zr_net_budget_default();
	budget->connections =
		resource_limit(RLIMIT_NOFILE) * DESCRIPTORS_PERCENT / 100;
	mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
	budget->used_metric = zr_metrics_get_or_add_gauge(
		metrics, "zinniarack_net_message_bytes", NULL,
		"Bytes of requests and replies that connections hold.");
	budget->reclaims = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_net_connections_reclaimed_total", NULL,
		"Connections closed to keep the memory budget.");
	*out = budget;
	return 0;
}

void zr_net_budget_free(struct zr_net_budget *budget)
{
	if (!budget)
		return;
	zr_table_free(budget->accounts);
	free(budget);
}

zr_handle zr_net_account_open(struct zr_net_budget *budget,
			      enum zr_net_class class,
			      zr_net_reclaim_fn reclaim, void *ctx)
{
	struct account *account;
	zr_handle handle;

	if (!budget)
		return ZR_HANDLE_NONE;
	if (zr_table_add(&handle, budget->accounts) < 0)
		abort();
	account = zr_table_get(budget->accounts, handle);
	account->class = class;
	account->reclaim = reclaim;
	account->ctx = ctx;
	account->progress = ++budget->progress;
	return handle;
}

static void set_bytes(struct zr_net_budget *budget, struct account *account,
		      size_t bytes)
{
	budget->used += bytes - account->bytes;
	if (account->class == ZR_NET_PEER)
		budget->used_by_peers += bytes - account->bytes;
	if (account->is_reclaimed)
		budget->reclaimed += bytes - account->bytes;
	account->bytes = bytes;
	budget->used_metric->value = (int64_t)budget->used;
}

void zr_net_account_close(struct zr_net_budget *budget, zr_handle handle)
{
	struct account *account;

	if (!budget)
		return;
	account = zr_table_get(budget->accounts, handle);
	if (!account)
		return;
	set_bytes(budget, account, 0);
	zr_table_remove(budget->accounts, handle);
}

void zr_net_account_set(struct zr_net_budget *budget, zr_handle handle,
			size_t bytes, uint64_t moved, enum zr_net_state state)
{
	struct account *account;

	if (!budget)
		return;
	account = zr_table_get(budget->accounts, handle);
	if (!account)
		return;
	if (state != account->state ||
	    moved - account->moved >= PROGRESS_BYTES) {
		account->progress = ++budget->progress;
		account->moved = moved;
	}
	account->state = state;
	set_bytes(budget, account, bytes);
}

/* Replies come after incomplete requests: theirs may have run. */
static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->is_small != y->is_small)
		return x->is_small ? 1 : -1;
	if (x->state != y->state)
		return x->state < y->state ? -1 : 1;
	if (x->is_preferred != y->is_preferred)
		return x->is_preferred ? 1 : -1;
	return x->progress < y->progress ? -1 : x->progress > y->progress;
}

/* Neither class can take the whole budget from the other. */
static bool is_preferred(const struct zr_net_budget *budget,
			 const struct account *account)
{
	bool peers = budget->used_by_peers <= budget->bytes / 2;

	return (account->class == ZR_NET_PEER) == peers;
}

static size_t list_candidates(struct candidate *out,
			      const struct zr_net_budget *budget)
{
	zr_handle handle = ZR_HANDLE_NONE;
	size_t count = 0;

	while ((handle = zr_table_next(budget->accounts, handle))) {
		const struct account *account =
			zr_table_get(budget->accounts, handle);

		if (account->is_reclaimed || !account->bytes ||
		    account->state == ZR_NET_HANDLING)
			continue;
		out[count++] = (struct candidate){
			.account = handle,
			.is_small = account->bytes <= SMALL_BYTES,
			.state = account->state,
			.is_preferred = is_preferred(budget, account),
			.progress = account->progress,
		};
	}
	qsort(out, count, sizeof(*out), compare_candidates);
	return count;
}

static bool is_exceeded(const struct zr_net_budget *budget)
{
	return budget->used - budget->reclaimed > budget->bytes;
}

static void reclaim_account(struct zr_net_budget *budget, zr_handle handle)
{
	struct account *account = zr_table_get(budget->accounts, handle);
	zr_net_reclaim_fn reclaim = account->reclaim;
	void *ctx = account->ctx;

	account->is_reclaimed = true;
	budget->reclaimed += account->bytes;
	budget->reclaims->value++;
	reclaim(ctx);
}

/* Logs reclaims, at most once in LOG_INTERVAL_MS. */
static void log_reclaims(struct zr_net_budget *budget)
{
	struct timespec now = zr_clock_now(budget->clock);

	if (zr_time_diff_ms(now, budget->logged_at) < LOG_INTERVAL_MS)
		return;
	budget->logged_at = now;
	zr_log(ZR_LOG_WARN,
	       "server.memory_reclaimed connections=%zu bytes=%zu budget=%zu "
	       "reclaimed_total=%" PRId64,
	       zr_table_count(budget->accounts), budget->used, budget->bytes,
	       budget->reclaims->value);
}

static void reclaim(struct zr_net_budget *budget)
{
	struct candidate *candidates =
		calloc(zr_table_count(budget->accounts), sizeof(*candidates));
	size_t count;
	size_t i;

	if (!candidates)
		abort();
	count = list_candidates(candidates, budget);
	for (i = 0; i < count && is_exceeded(budget); i++)
		reclaim_account(budget, candidates[i].account);
	if (i)
		log_reclaims(budget);
	free(candidates);
}

bool zr_net_budget_enforce(struct zr_net_budget *budget)
{
	if (!budget || !is_exceeded(budget))
		return true;
	reclaim(budget);
	return !is_exceeded(budget);
}

static void reclaim_oldest(struct zr_net_budget *budget)
{
	struct candidate oldest = {.account = ZR_HANDLE_NONE};
	zr_handle handle = ZR_HANDLE_NONE;

	while ((handle = zr_table_next(budget->accounts, handle))) {
		const struct account *account =
			zr_table_get(budget->accounts, handle);
		struct candidate candidate = {
			.account = handle,
			.state = account->state,
			.is_preferred = is_preferred(budget, account),
			.progress = account->progress,
		};

		if (!account->is_reclaimed &&
		    account->state == ZR_NET_RECEIVING &&
		    (!oldest.account ||
		     compare_candidates(&candidate, &oldest) < 0))
			oldest = candidate;
	}
	if (oldest.account)
		reclaim_account(budget, oldest.account);
}

bool zr_net_budget_admit(struct zr_net_budget *budget)
{
	size_t count;

	if (!budget || !budget->connections)
		return true;
	count = zr_table_count(budget->accounts);
	if (count < budget->connections)
		return true;
	reclaim_oldest(budget);
	return count <
	       budget->connections + budget->connections / CLOSING_DIVISOR;
}

size_t zr_net_budget_used(const struct zr_net_budget *budget)
{
	return budget->used;
}

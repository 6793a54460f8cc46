#include "cell/policy/past_use.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PERMILLE 1000
#define MILLI 1000
/* An account with less use than this, in core-milliseconds, is removed. */
#define FORGOTTEN_CORE_MS 1.0

void zr_past_use_init(struct zr_past_use *use, int64_t half_life_ms, int64_t at)
{
	memset(use, 0, sizeof(*use));
	use->half_life_ms = half_life_ms > 0 ? half_life_ms : 1;
	use->at = at;
}

void zr_past_use_clear(struct zr_past_use *use)
{
	free(use->accounts);
	memset(use, 0, sizeof(*use));
}

int64_t zr_past_use_cost(const struct zr_resources *need, int64_t run_ms)
{
	int64_t millicpus = (int64_t)need->millicpus +
			    (int64_t)need->accelerators *
				    ZR_PAST_USE_ACCELERATOR_CORES * MILLI;

	return run_ms > 0 ? millicpus * run_ms / MILLI : 0;
}

struct zr_past_use_account *zr_past_use_get_or_add(struct zr_past_use *use,
						   const char *name)
{
	struct zr_past_use_account *account;
	size_t i;

	/* A linear search is enough for a few dozen client accounts. */
	for (i = 0; i < use->count; i++) {
		if (!strcmp(use->accounts[i].name, name))
			return &use->accounts[i];
	}
	if (use->count == use->alloc) {
		use->alloc = use->alloc ? 2 * use->alloc : 16;
		use->accounts = realloc(use->accounts,
					use->alloc * sizeof(*use->accounts));
		if (!use->accounts)
			abort();
	}
	account = &use->accounts[use->count++];
	memset(account, 0, sizeof(*account));
	snprintf(account->name, sizeof(account->name), "%s", name);
	return account;
}

void zr_past_use_add(struct zr_past_use *use, const char *name, double core_ms)
{
	zr_past_use_get_or_add(use, name)->core_ms += core_ms;
}

void zr_past_use_decay(struct zr_past_use *use, int64_t now)
{
	double factor;
	size_t i = 0;

	if (now <= use->at)
		return;
	factor = exp2(-(double)(now - use->at) / (double)use->half_life_ms);
	use->at = now;
	use->rest_core_ms *= factor;
	while (i < use->count) {
		struct zr_past_use_account *account = &use->accounts[i];

		account->core_ms *= factor;
		if (account->core_ms < FORGOTTEN_CORE_MS && !account->waits)
			*account = use->accounts[--use->count];
		else
			i++;
	}
}

static double total_use(const struct zr_past_use *use)
{
	double total = use->rest_core_ms;
	size_t i;

	for (i = 0; i < use->count; i++)
		total += use->accounts[i].core_ms;
	return total;
}

/*
 * An account with less than a thousandth of the use is no longer there: the
 * others may use its share.
 */
static bool counts(const struct zr_past_use_account *account, double total)
{
	return account->waits || account->core_ms * PERMILLE > total;
}

/* Weight of accounts that have none, and the sum of all weights. */
static double sum_weights(const struct zr_past_use *use, double total,
			  double *out_default)
{
	double sum = 0;
	size_t weighted = 0;
	size_t counted = 0;
	size_t i;

	for (i = 0; i < use->count; i++) {
		if (!counts(&use->accounts[i], total))
			continue;
		sum += use->accounts[i].weight;
		weighted += use->accounts[i].weight != 0;
		counted++;
	}
	*out_default = weighted ? sum / (double)weighted : 1;
	return sum + (double)(counted - weighted) * *out_default;
}

static void judge_account(struct zr_past_use_account *account, double used,
			  double share)
{
	account->used_permille = (uint32_t)lround(used * PERMILLE);
	account->share_permille = (uint32_t)lround(share * PERMILLE);
	account->excess_permille =
		used > share ? (uint32_t)lround((1 - share / used) * PERMILLE)
			     : 0;
}

void zr_past_use_judge(struct zr_past_use *use)
{
	double total = total_use(use);
	double default_weight;
	double weights = sum_weights(use, total, &default_weight);
	size_t i;

	for (i = 0; i < use->count; i++) {
		struct zr_past_use_account *account = &use->accounts[i];
		double weight =
			account->weight ? account->weight : default_weight;

		if (counts(account, total))
			judge_account(account,
				      total > 0 ? account->core_ms / total : 0,
				      weight / weights);
		else
			judge_account(account, 0, 0);
	}
}

static int by_use(const void *a, const void *b)
{
	const struct zr_past_use_account *left = a;
	const struct zr_past_use_account *right = b;

	if (left->core_ms != right->core_ms)
		return left->core_ms > right->core_ms ? -1 : 1;
	return strcmp(left->name, right->name);
}

size_t zr_past_use_keep_largest(struct zr_past_use *use,
				double *out_rest_core_ms)
{
	size_t i;

	if (use->count)
		qsort(use->accounts, use->count, sizeof(*use->accounts),
		      by_use);
	*out_rest_core_ms = use->rest_core_ms;
	for (i = ZR_PAST_USE_KEPT_MAX; i < use->count; i++)
		*out_rest_core_ms += use->accounts[i].core_ms;
	return use->count < ZR_PAST_USE_KEPT_MAX ? use->count
						 : ZR_PAST_USE_KEPT_MAX;
}

int64_t zr_past_use_delay_ms(uint32_t excess_permille, int64_t objective_ms)
{
	int64_t max = objective_ms < ZR_PAST_USE_DELAY_MAX_MS
			      ? objective_ms
			      : ZR_PAST_USE_DELAY_MAX_MS;

	if (excess_permille > PERMILLE)
		excess_permille = PERMILLE;
	return max > 0 ? max * excess_permille / PERMILLE : 0;
}

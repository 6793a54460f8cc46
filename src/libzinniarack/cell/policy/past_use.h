#ifndef ZR_CELL_POLICY_PAST_USE_H
#define ZR_CELL_POLICY_PAST_USE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/job.h"

/**
 * DOC: Past use of client accounts
 *
 * A decayed total of the core-seconds of each client account, and what follows
 * from it for the order of waiting work: the jobs of an account that has used
 * more than its share rank as if they had been accepted later. The delay is
 * bounded, so that each job comes before all that are accepted long enough
 * after it.
 *
 * Times are in milliseconds of one clock, which the caller chooses.
 */

/** Maximum number of accounts in a record; the others are one sum. */
#define ZR_PAST_USE_KEPT_MAX 32
/** An accelerator counts as this many processors. */
#define ZR_PAST_USE_ACCELERATOR_CORES 8
/** Maximum delay of a job in the order of waiting work. */
#define ZR_PAST_USE_DELAY_MAX_MS 60000

/**
 * struct zr_past_use_account - past use of a client account
 * @name: its name
 * @weight: its share of the cell relative to the others; 0: none is stated
 * @waits: it has work that waits
 * @core_ms: decayed core-milliseconds
 * @used_permille: its part of the use of all accounts
 * @share_permille: its part of the weights of the accounts that count
 * @excess_permille: how far it has exceeded its share: 0 for an account that
 *	has not, close to 1000 for one that has used many times its share
 */
struct zr_past_use_account {
	char name[ZR_NAME_MAX];
	uint32_t weight;
	bool waits;
	double core_ms;
	uint32_t used_permille;
	uint32_t share_permille;
	uint32_t excess_permille;
};

/**
 * struct zr_past_use - past use of all client accounts
 * @half_life_ms: time in which use decays to a half
 * @at: time to which the totals have been decayed
 * @accounts: the accounts, in no order
 * @count: number of accounts
 * @alloc: allocated size of @accounts
 * @rest_core_ms: decayed core-milliseconds of accounts that are not kept
 */
struct zr_past_use {
	int64_t half_life_ms;
	int64_t at;
	struct zr_past_use_account *accounts;
	size_t count;
	size_t alloc;
	double rest_core_ms;
};

/** zr_past_use_init() - begin without any use at the time @at */
void zr_past_use_init(struct zr_past_use *use, int64_t half_life_ms,
		      int64_t at);
void zr_past_use_clear(struct zr_past_use *use);

/**
 * zr_past_use_cost() - use of a run
 * @need: resources that it reserved
 * @run_ms: for how long, in milliseconds
 *
 * Return: core-milliseconds; 0 if @run_ms is negative.
 */
int64_t zr_past_use_cost(const struct zr_resources *need, int64_t run_ms);

/**
 * zr_past_use_get_or_add() - find an account by name; add it if it is new
 *
 * Return: the account, valid until the next call for @use.
 */
struct zr_past_use_account *zr_past_use_get_or_add(struct zr_past_use *use,
						   const char *name);

/** zr_past_use_add() - add core-milliseconds to the use of an account */
void zr_past_use_add(struct zr_past_use *use, const char *name, double core_ms);

/**
 * zr_past_use_decay() - decay all totals to the time @now
 *
 * Removes accounts whose use no longer matters and that do not wait. Does
 * nothing if @now is not after &struct zr_past_use.at.
 */
void zr_past_use_decay(struct zr_past_use *use, int64_t now);

/**
 * zr_past_use_judge() - compute how far each account has exceeded its share
 *
 * The accounts that count are those with waiting work or at least a thousandth
 * of the use. Accounts without a weight have the mean weight of the others.
 */
void zr_past_use_judge(struct zr_past_use *use);

/**
 * zr_past_use_keep_largest() - order the accounts by use, the largest first
 * @use: the accounts
 * @out_rest_core_ms: receives the sum of those beyond ZR_PAST_USE_KEPT_MAX and
 *	of &struct zr_past_use.rest_core_ms
 *
 * Return: number of accounts to keep, from the first.
 */
size_t zr_past_use_keep_largest(struct zr_past_use *use,
				double *out_rest_core_ms);

/**
 * zr_past_use_delay_ms() - delay of a job in the order of waiting work
 * @excess_permille: excess of its account, times the weight of past use
 * @objective_ms: the job's objective
 *
 * Return: milliseconds, at most @objective_ms and ZR_PAST_USE_DELAY_MAX_MS. A
 * job of short objective is delayed by less, as it would be late sooner.
 */
int64_t zr_past_use_delay_ms(uint32_t excess_permille, int64_t objective_ms);

#endif

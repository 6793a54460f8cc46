#include <stdio.h>
#include <stdlib.h>

#include "route/private.h"

/* Number of retries that each new request adds to the budget. */
#define DEPOSIT_PER_REQUEST 0.1
#define BALANCE_MAX 20.0
#define BALANCE_INITIAL 5.0

/*
 * Limits retries to a fraction of the requests, so that retries can't multiply
 * the load of an overloaded service. There is one budget per team and service.
 */
struct route_retry_budget {
	UT_hash_handle hh;
	char key[2 * ZR_NAME_MAX];
	double balance;
};

static struct route_retry_budget *
get_or_add_budget(struct zr_router *router, const struct route_call *call)
{
	struct route_retry_budget *budget;
	char key[2 * ZR_NAME_MAX];

	snprintf(key, sizeof(key), "%s/%s", call->team_name,
		 call->service->name);
	HASH_FIND_STR(router->budgets, key, budget);
	if (budget)
		return budget;
	budget = calloc(1, sizeof(*budget));
	if (!budget)
		abort();
	snprintf(budget->key, sizeof(budget->key), "%s", key);
	budget->balance = BALANCE_INITIAL;
	HASH_ADD_STR(router->budgets, key, budget);
	return budget;
}

void route_retry_budget_deposit(struct zr_router *router,
				const struct route_call *call)
{
	struct route_retry_budget *budget = get_or_add_budget(router, call);

	budget->balance += DEPOSIT_PER_REQUEST;
	if (budget->balance > BALANCE_MAX)
		budget->balance = BALANCE_MAX;
}

bool route_retry_budget_withdraw(struct zr_router *router,
				 const struct route_call *call)
{
	struct route_retry_budget *budget = get_or_add_budget(router, call);

	if (budget->balance < 1)
		return false;
	budget->balance -= 1;
	return true;
}

void route_retry_budgets_free(struct zr_router *router)
{
	struct route_retry_budget *budget;
	struct route_retry_budget *next;

	HASH_ITER (hh, router->budgets, budget, next) {
		HASH_DEL(router->budgets, budget);
		free(budget);
	}
}

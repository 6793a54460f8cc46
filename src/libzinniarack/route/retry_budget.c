#include <stdio.h>
#include <stdlib.h>

#include "route/private.h"

/* Retries allowed for each first try, and how many may be saved up. */
#define EARNED_PER_CALL 0.1
#define SAVED_MAX 20.0
#define SAVED_AT_START 5.0

struct route_budget {
	UT_hash_handle hh;
	char key[2 * ZR_NAME_MAX];
	double saved;
};

static struct route_budget *get_budget(struct zr_router *router,
				       const struct route_call *call)
{
	struct route_budget *budget;
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
	budget->saved = SAVED_AT_START;
	HASH_ADD_STR(router->budgets, key, budget);
	return budget;
}

void route_budget_earn(struct zr_router *router, const struct route_call *call)
{
	struct route_budget *budget = get_budget(router, call);

	budget->saved += EARNED_PER_CALL;
	if (budget->saved > SAVED_MAX)
		budget->saved = SAVED_MAX;
}

bool route_budget_spend(struct zr_router *router, const struct route_call *call)
{
	struct route_budget *budget = get_budget(router, call);

	if (budget->saved < 1)
		return false;
	budget->saved -= 1;
	return true;
}

void route_budget_free(struct zr_router *router)
{
	struct route_budget *budget;
	struct route_budget *next;

	HASH_ITER (hh, router->budgets, budget, next) {
		HASH_DEL(router->budgets, budget);
		free(budget);
	}
}

#include <stdio.h>
#include <string.h>

#include "cell/plan.h"

/*
 * When a failure domain is cut off, each of its workers would swallow tasks
 * until an order to it was given up. An order is answered within milliseconds,
 * so a domain from which none has been answered for longer, nor anything else
 * heard, gets no tasks for a while.
 */

/* Longest answer to an order from a domain that can be reached. */
#define ANSWER_MS 150
/* After so long without an answer the domain is tried again. */
#define TRY_AGAIN_MS 1500

uint32_t zr_cell_domain_get_or_add(struct zr_cell_model *model,
				   const char *name)
{
	uint32_t i;

	if (!name[0])
		return 0;
	for (i = 0; i < model->domain_count; i++) {
		if (!strcmp(model->domains[i].name, name))
			return i + 1;
	}
	if (model->domain_count == ZR_CELL_DOMAINS_MAX)
		return 0;
	snprintf(model->domains[i].name, sizeof(model->domains[i].name), "%s",
		 name);
	model->domains[i].asked_at = ZR_CELL_NEVER;
	return ++model->domain_count;
}

static struct zr_cell_domain *domain_of(struct zr_cell_model *model,
					const struct zr_cell_worker *worker)
{
	return worker->domain ? &model->domains[worker->domain - 1] : NULL;
}

void zr_cell_domain_start_sent(struct zr_cell_model *model,
			       const struct zr_cell_worker *worker, int64_t now)
{
	struct zr_cell_domain *domain = domain_of(model, worker);

	if (domain && domain->asked_at == ZR_CELL_NEVER)
		domain->asked_at = now;
}

void zr_cell_domain_responded(struct zr_cell_model *model,
			      const struct zr_cell_worker *worker)
{
	struct zr_cell_domain *domain = domain_of(model, worker);

	if (domain)
		domain->asked_at = ZR_CELL_NEVER;
}

bool zr_cell_domain_unresponsive(struct zr_cell_model *model,
				 const struct zr_cell_worker *worker,
				 int64_t now)
{
	struct zr_cell_domain *domain = domain_of(model, worker);

	if (!domain || domain->asked_at == ZR_CELL_NEVER ||
	    now - domain->asked_at <= ANSWER_MS)
		return false;
	if (now - domain->asked_at < TRY_AGAIN_MS)
		return true;
	domain->asked_at = ZR_CELL_NEVER;
	return false;
}

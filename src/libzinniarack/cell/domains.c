#include <stdio.h>
#include <string.h>

#include "cell/plan.h"

/*
 * When a failure domain loses its connection, starts would be sent to each of
 * its workers until they time out. A reachable worker responds to a start
 * within milliseconds. So if a start gets no response within RESPONSE_MS, and
 * no other response from the domain has arrived since, the domain gets no tasks
 * until RETRY_MS after the start.
 */

/* Maximum response time of a domain that is reachable. */
#define RESPONSE_MS 150
/* Time after the first start without a response when another one is sent. */
#define RETRY_MS 1500

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
	model->domains[i].unanswered_since = ZR_CELL_NEVER;
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

	if (domain && domain->unanswered_since == ZR_CELL_NEVER)
		domain->unanswered_since = now;
}

void zr_cell_domain_responded(struct zr_cell_model *model,
			      const struct zr_cell_worker *worker)
{
	struct zr_cell_domain *domain = domain_of(model, worker);

	if (domain)
		domain->unanswered_since = ZR_CELL_NEVER;
}

bool zr_cell_domain_unresponsive(struct zr_cell_model *model,
				 const struct zr_cell_worker *worker,
				 int64_t now)
{
	struct zr_cell_domain *domain = domain_of(model, worker);

	if (!domain || domain->unanswered_since == ZR_CELL_NEVER ||
	    now - domain->unanswered_since <= RESPONSE_MS)
		return false;
	if (now - domain->unanswered_since < RETRY_MS)
		return true;
	domain->unanswered_since = ZR_CELL_NEVER;
	return false;
}

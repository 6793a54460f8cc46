#include "cell/plan.h"

/*
 * A job earns its worth while it is on time, a fifth of it until three times
 * its objective, and nothing later. What a client account sends beyond its
 * weight is owed to nobody. So the jobs that can still be on time come first,
 * then the late ones, then the lost ones, and what is beyond a share last.
 */
enum tier {
	TIER_ON_TIME,
	TIER_LATE,
	TIER_EXCESS,
	TIER_LOST,
};

#define LATE_FACTOR 3
/* Estimates are rough: a job is only given up for late when it surely is. */
#define REMAINING_PERCENT 80
#define PERCENT 100
#define PERMILLE 1000
#define MS_PER_S 1000
/* More than any clock reads, so that tiers and priorities do not mix. */
#define TIER_SHIFT 48
#define PRIORITY_SHIFT 44
#define PRIORITY_MAX 15
/* A client account may send this much of its weight at once. */
#define BURST_S 2

static int64_t chain_ms(const struct zr_cell_job *job)
{
	const struct zr_cell_job_spec *spec = &job->spec;
	int64_t sum = 0;
	uint32_t i;

	/* Steps mostly follow one another; a wider graph has time to spare. */
	for (i = 0; i < spec->step_count; i++)
		sum += spec->steps[i].estimate_ms;
	return sum;
}

int64_t zr_cell_order_objective_ms(const struct zr_cell_job *job)
{
	return chain_ms(job) * job->stretch_permille / PERMILLE +
	       job->latency_target_ms;
}

/* Of steps that have begun nothing is counted: how far they are varies. */
static int64_t remaining_ms(const struct zr_cell_job *job)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < job->step_count; i++) {
		const struct zr_cell_step_row *step = &job->steps[i];

		/* Occurrences have times of their own. */
		if (step->waiting == step->spec->count && !step->occurrence)
			sum += step->spec->estimate_ms;
	}
	return sum * REMAINING_PERCENT / PERCENT;
}

static enum tier tier_of(const struct zr_cell_job *job, int64_t now)
{
	int64_t objective = zr_cell_order_objective_ms(job);
	int64_t end = now - job->accepted_at + remaining_ms(job);

	if (end > LATE_FACTOR * objective)
		return TIER_LOST;
	if (job->excess)
		return TIER_EXCESS;
	return end > objective ? TIER_LATE : TIER_ON_TIME;
}

int64_t zr_cell_order_class(const struct zr_cell_job *job, int64_t now)
{
	int64_t priority =
		job->priority < PRIORITY_MAX ? job->priority : PRIORITY_MAX;

	return ((int64_t)tier_of(job, now) << (TIER_SHIFT - PRIORITY_SHIFT)) +
	       priority;
}

int64_t zr_cell_order_rank(const struct zr_cell_job *job, int64_t now)
{
	return (zr_cell_order_class(job, now) << PRIORITY_SHIFT) +
	       job->accepted_at;
}

bool zr_cell_order_charge(struct zr_cell_client_row *client,
			  int64_t accepted_at)
{
	int64_t most = (int64_t)client->weight * BURST_S * MS_PER_S;
	int64_t since = accepted_at - client->charged_at;

	if (!client->weight)
		return true;
	if (since > 0) {
		client->credit += since * client->weight;
		client->charged_at = accepted_at;
	}
	if (client->credit > most)
		client->credit = most;
	if (client->credit < MS_PER_S)
		return false;
	client->credit -= MS_PER_S;
	return true;
}

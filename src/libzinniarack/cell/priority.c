#include "cell/plan.h"
#include "cell/policy/past_use.h"

/* A job has no value after this multiple of its objective. */
#define WORTHLESS_FACTOR 3
/*
 * Part of the estimated remaining time that is counted. Estimates are rough,
 * and a job should only be ranked as late if it certainly will be.
 */
#define REMAINING_PERCENT 80
#define PERCENT 100
#define PERMILLE 1000
#define MS_PER_S 1000
/*
 * Positions of tier and priority in a rank. The bits below PRIORITY_SHIFT hold
 * the time of acceptance, so that the parts do not overlap.
 */
#define TIER_SHIFT 48
#define PRIORITY_SHIFT 44
#define PRIORITY_MAX 15
/* A client account may submit the jobs of this time at once. */
#define BURST_S 2

static int64_t total_estimate_ms(const struct zr_cell_job *job)
{
	const struct zr_cell_job_spec *spec = &job->spec;
	int64_t sum = 0;
	uint32_t i;

	/*
	 * Steps mostly run one after the other. A job with parallel steps gets
	 * a longer objective than it needs.
	 */
	for (i = 0; i < spec->step_count; i++)
		sum += spec->steps[i].estimate_ms;
	return sum;
}

int64_t zr_cell_priority_objective_ms(const struct zr_cell_job *job)
{
	return total_estimate_ms(job) * job->stretch_permille / PERMILLE +
	       job->latency_target_ms;
}

int64_t zr_cell_priority_unstarted_ms(const struct zr_cell_job *job)
{
	int64_t sum = 0;
	uint32_t i;

	/* Later occurrences than the first have due times of their own. */
	for (i = 0; i < job->spec.step_count && i < job->step_count; i++) {
		const struct zr_cell_step_state *step = &job->steps[i];

		if (step->waiting == step->spec->count)
			sum += step->spec->estimate_ms;
	}
	return sum;
}

static int64_t remaining_ms(const struct zr_cell_job *job)
{
	return zr_cell_priority_unstarted_ms(job) * REMAINING_PERCENT / PERCENT;
}

enum zr_cell_tier zr_cell_priority_tier(const struct zr_cell_job *job,
					int64_t now)
{
	int64_t objective = zr_cell_priority_objective_ms(job);
	int64_t age_at_end = now - job->accepted_at + remaining_ms(job);

	/* It has no end that could be late. */
	if (job->lasts)
		return ZR_CELL_TIER_ON_TIME;
	if (age_at_end > WORTHLESS_FACTOR * objective)
		return ZR_CELL_TIER_WORTHLESS;
	if (job->over_share)
		return ZR_CELL_TIER_OVER_SHARE;
	return age_at_end > objective ? ZR_CELL_TIER_LATE
				      : ZR_CELL_TIER_ON_TIME;
}

int64_t zr_cell_priority_class(const struct zr_cell_job *job, int64_t now)
{
	int64_t priority =
		job->priority < PRIORITY_MAX ? job->priority : PRIORITY_MAX;

	return ((int64_t)zr_cell_priority_tier(job, now)
		<< (TIER_SHIFT - PRIORITY_SHIFT)) +
	       priority;
}

int64_t zr_cell_priority_rank(const struct zr_cell_job *job,
			      uint32_t past_use_permille, int64_t now)
{
	int64_t rank = (zr_cell_priority_class(job, now) << PRIORITY_SHIFT) +
		       job->accepted_at;

	if (past_use_permille)
		rank += zr_past_use_delay_ms(
			past_use_permille, zr_cell_priority_objective_ms(job));
	return rank;
}

static int64_t refill(const struct zr_cell_client_state *client, int64_t credit,
		      int64_t at)
{
	int64_t max_credit = (int64_t)client->weight * BURST_S * MS_PER_S;
	int64_t elapsed_ms = at - client->credit_updated_at;

	if (elapsed_ms > 0)
		credit += elapsed_ms * client->weight;
	return credit < max_credit ? credit : max_credit;
}

bool zr_cell_priority_charge(struct zr_cell_client_state *client,
			     int64_t accepted_at)
{
	int64_t min_balance = -(int64_t)client->weight * BURST_S * MS_PER_S;

	if (!client->weight)
		return true;
	client->credit = refill(client, client->credit, accepted_at);
	client->balance =
		refill(client, client->balance, accepted_at) - MS_PER_S;
	if (client->balance < min_balance)
		client->balance = min_balance;
	if (accepted_at > client->credit_updated_at)
		client->credit_updated_at = accepted_at;
	if (client->credit < MS_PER_S)
		return false;
	client->credit -= MS_PER_S;
	return true;
}

int64_t zr_cell_priority_balance(const struct zr_cell_client_state *client,
				 int64_t now)
{
	return refill(client, client->balance, now);
}

#include "cell/plan.h"

/*
 * The share of a worker's starts that get no answer tells whether the worker is
 * the cause, or whatever lies between it and this host: if many workers leave
 * starts without an answer, none of them is worse than the others. Both shares
 * are smoothed; that of all workers changes slowly with each start.
 */
#define WORKER_WEIGHT 0.1
#define CELL_WEIGHT 0.01
/* A worker is worse if its share exceeds this multiple of the cell's share. */
#define WORSE_FACTOR 2.5
/* Below this share of the cell, every worker that leaves one out is worse. */
#define CELL_SHARE_MIN 0.02

void zr_cell_unanswered_add_start(struct zr_cell_model *model,
				  struct zr_cell_worker *worker, bool answered)
{
	double sample = answered ? 0 : 1;

	worker->unanswered += (sample - worker->unanswered) * WORKER_WEIGHT;
	model->unanswered += (sample - model->unanswered) * CELL_WEIGHT;
}

bool zr_cell_unanswered_is_worse(const struct zr_cell_model *model,
				 const struct zr_cell_worker *worker)
{
	return model->unanswered < CELL_SHARE_MIN ||
	       worker->unanswered > WORSE_FACTOR * model->unanswered;
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cell/past_use_record.h"
#include "cell/private.h"
#include "zinniarack/log.h"

/*
 * Interval of the judgement of the accounts and of writes of the record. The
 * half-life is minutes or hours, so a second changes little.
 */
#define INTERVAL_MS 1000
/* Interval of the log lines that tell why accounts wait. */
#define LOG_INTERVAL_MS 10000
/*
 * Position of the fencing token in a generation. The bits below it count the
 * records of a term, at most one a second, for 194 days.
 */
#define TOKEN_SHIFT 24
#define PERCENT 100
#define MS_PER_S 1000

static bool is_enabled(const struct zr_cell_scheduler *scheduler)
{
	return scheduler->options.past_use.half_life_s &&
	       scheduler->options.past_use.weight_percent;
}

/* Load */

static void load_record(struct zr_cell_scheduler *scheduler,
			const struct zr_store_value *value)
{
	struct zr_cell_past_use *past = &scheduler->term.past_use;
	struct zr_cell_past_use_header header;

	zr_cell_journal_set_past_use_revision(scheduler->journal,
					      value->mod_revision);
	if (zr_cell_past_use_decode(&past->totals, &header, value,
				    scheduler->options.clock) < 0) {
		zr_log(ZR_LOG_ERROR, "past_use.unreadable bytes=%zu",
		       value->length);
		return;
	}
	past->runs = header.runs;
	scheduler->term.model.use.persisted = header.generation;
}

void zr_cell_past_use_begin_load(struct zr_cell_scheduler *scheduler,
				 const struct zr_store_value *values,
				 size_t count)
{
	struct zr_cell_use_marks *marks = &scheduler->term.model.use;
	int64_t now = zr_cell_now_ms(scheduler);
	size_t i;

	if (!is_enabled(scheduler))
		return;
	zr_past_use_init(&scheduler->term.past_use.totals,
			 (int64_t)scheduler->options.past_use.half_life_s *
				 MS_PER_S,
			 now);
	scheduler->term.past_use.judged_at = now - INTERVAL_MS;
	scheduler->term.past_use.logged_at = now - LOG_INTERVAL_MS;
	marks->enabled = true;
	marks->generation = (scheduler->term.fencing_token << TOKEN_SHIFT) + 1;
	for (i = 0; i < count; i++) {
		if (!strcmp(values[i].key, ZR_CELL_PAST_USE_KEY))
			load_record(scheduler, &values[i]);
	}
}

void zr_cell_past_use_load_job(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_job *job,
			       const zx_cell_stored_progress *record)
{
	struct zr_cell_past_use *past = &scheduler->term.past_use;
	const struct zr_cell_use_charge *charge = &job->use[0];

	zr_cell_use_restore(&scheduler->term.model, job, record,
			    scheduler->options.clock);
	if (!charge->runs)
		return;
	/* It is seconds younger than the record, and decays like it. */
	zr_past_use_add(
		&past->totals,
		zr_cell_client(&scheduler->term.model, job->client)->name,
		(double)charge->core_ms);
	past->runs += charge->runs;
	scheduler->term.model.use.closing = charge->generation;
}

static void take_snapshot(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_past_use *past = &scheduler->term.past_use;
	const struct zr_cell_past_use_header header = {
		scheduler->term.model.use.closing, past->runs};

	if (zr_cell_past_use_encode(&past->snapshot, &past->totals, &header,
				    scheduler->options.clock) < 0)
		abort();
}

void zr_cell_past_use_end_load(struct zr_cell_scheduler *scheduler)
{
	if (!scheduler->term.model.use.enabled)
		return;
	zr_past_use_decay(&scheduler->term.past_use.totals,
			  zr_cell_now_ms(scheduler));
	/* The loaded charges are persisted, so they can be included at once. */
	if (scheduler->term.model.use.closing)
		take_snapshot(scheduler);
	zr_log(ZR_LOG_INFO,
	       "past_use.loaded accounts=%zu runs=%" PRId64
	       " generation=%" PRIu64,
	       scheduler->term.past_use.totals.count,
	       scheduler->term.past_use.runs,
	       scheduler->term.model.use.persisted);
}

/* Charges */

void zr_cell_past_use_charge(struct zr_cell_scheduler *scheduler,
			     struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_use_marks *marks = &scheduler->term.model.use;
	struct zr_cell_use_charge *charge = &job->use[marks->generation & 1];
	struct zr_cell_task *entry = &job->tasks[task];
	int64_t core_ms;

	if (!entry->placed_at || !marks->enabled)
		return;
	core_ms =
		zr_past_use_cost(&zr_cell_task_step(job, task)->spec->need,
				 zr_cell_now_ms(scheduler) - entry->placed_at);
	entry->placed_at = 0;
	zr_cell_job_mark_dirty(&scheduler->term.model, job);
	if (charge->generation != marks->generation)
		*charge = (struct zr_cell_use_charge){
			.generation = marks->generation};
	charge->core_ms += core_ms;
	charge->runs++;
	charge->change = job->change;
	if (!charge->pending)
		marks->pending[marks->generation & 1]++;
	charge->pending = true;
	zr_past_use_add(
		&scheduler->term.past_use.totals,
		zr_cell_client(&scheduler->term.model, job->client)->name,
		(double)core_ms);
	scheduler->term.past_use.runs++;
	scheduler->term.past_use.charged = true;
}

void zr_cell_past_use_job_persisted(struct zr_cell_scheduler *scheduler,
				    struct zr_cell_job *job)
{
	size_t i;

	for (i = 0; i < 2; i++) {
		struct zr_cell_use_charge *charge = &job->use[i];

		if (!charge->pending || charge->change > job->persisted_change)
			continue;
		charge->pending = false;
		scheduler->term.model.use.pending[i]--;
	}
}

bool zr_cell_past_use_has_charges(const struct zr_cell_scheduler *scheduler,
				  const struct zr_cell_job *job)
{
	uint64_t persisted = scheduler->term.model.use.persisted;

	return (job->use[0].runs && job->use[0].generation > persisted) ||
	       (job->use[1].runs && job->use[1].generation > persisted);
}

/* The record */

/* Begins a new generation; the record of the last one is written next. */
static void close_generation(struct zr_cell_scheduler *scheduler, int64_t now)
{
	struct zr_cell_use_marks *marks = &scheduler->term.model.use;
	struct zr_cell_past_use *past = &scheduler->term.past_use;

	if (marks->closing || !past->charged ||
	    now - past->closed_at < INTERVAL_MS)
		return;
	marks->closing = marks->generation++;
	past->charged = false;
	past->closed_at = now;
	zr_past_use_decay(&past->totals, now);
	take_snapshot(scheduler);
}

/* Hands the record to the journal once all its charges are persisted. */
static void write_record(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_past_use *past = &scheduler->term.past_use;
	struct zr_cell_use_marks *marks = &scheduler->term.model.use;

	if (!past->snapshot.data || marks->pending[marks->closing & 1])
		return;
	zr_cell_journal_set_past_use(scheduler->journal, past->snapshot);
	past->snapshot.data = NULL;
}

void zr_cell_past_use_record_persisted(struct zr_cell_scheduler *scheduler)
{
	scheduler->term.model.use.persisted = scheduler->term.model.use.closing;
	scheduler->term.model.use.closing = 0;
}

/* Effect on the order of waiting work */

static void count_waiting_steps(struct zr_cell_model *model, int64_t now)
{
	struct zr_cell_step_state *step;
	zr_handle client;

	for (client = zr_table_next(model->clients, ZR_HANDLE_NONE); client;
	     client = zr_table_next(model->clients, client))
		zr_cell_client(model, client)->waiting_steps = 0;
	DL_FOREACH(model->ready, step)
	{
		if (step->waiting && now >= step->ready_at)
			zr_cell_client(model,
				       zr_cell_job(model, step->job)->client)
				->waiting_steps++;
	}
}

static void set_gauge(struct zr_cell_scheduler *scheduler,
		      const struct zr_past_use_account *account, int64_t value)
{
	char label[ZR_NAME_MAX + sizeof("client=\"\"")];

	snprintf(label, sizeof(label), "client=\"%s\"", account->name);
	zr_metrics_get_or_add_gauge(
		scheduler->options.metrics,
		"zinniarack_cell_past_use_core_seconds", label,
		"Decayed core-seconds of ended runs of a client account")
		->value = value;
}

static void log_waiting(const struct zr_cell_client_state *client,
			const struct zr_past_use_account *account)
{
	zr_log_decision("client.waits client=%s reason=past_use steps=%" PRIu32
			" core_seconds=%.0f used_permille=%" PRIu32
			" share_permille=%" PRIu32 " delay_permille=%" PRIu32,
			client->name, client->waiting_steps,
			account->core_ms / MS_PER_S, account->used_permille,
			account->share_permille, client->past_use_permille);
}

/* Passes the weights of the accounts and whether they wait to the policy. */
static void judge(struct zr_cell_scheduler *scheduler)
{
	struct zr_past_use *totals = &scheduler->term.past_use.totals;
	struct zr_cell_model *model = &scheduler->term.model;
	zr_handle handle;

	for (handle = zr_table_next(model->clients, ZR_HANDLE_NONE); handle;
	     handle = zr_table_next(model->clients, handle)) {
		const struct zr_cell_client_state *client =
			zr_cell_client(model, handle);
		struct zr_past_use_account *account =
			zr_past_use_get_or_add(totals, client->name);

		account->weight = client->weight;
		account->waits = client->waiting_steps != 0;
	}
	zr_past_use_judge(totals);
}

static void apply_judgement(struct zr_cell_scheduler *scheduler, bool log)
{
	struct zr_cell_model *model = &scheduler->term.model;
	zr_handle handle;

	for (handle = zr_table_next(model->clients, ZR_HANDLE_NONE); handle;
	     handle = zr_table_next(model->clients, handle)) {
		struct zr_cell_client_state *client =
			zr_cell_client(model, handle);
		const struct zr_past_use_account *account =
			zr_past_use_get_or_add(&scheduler->term.past_use.totals,
					       client->name);

		client->past_use_permille =
			account->excess_permille *
			scheduler->options.past_use.weight_percent / PERCENT;
		set_gauge(scheduler, account,
			  (int64_t)(account->core_ms / MS_PER_S));
		if (log && client->past_use_permille && client->waiting_steps)
			log_waiting(client, account);
	}
	scheduler->past_use_runs->value = scheduler->term.past_use.runs;
}

static void refresh(struct zr_cell_scheduler *scheduler, int64_t now)
{
	struct zr_cell_past_use *past = &scheduler->term.past_use;
	bool log = now - past->logged_at >= LOG_INTERVAL_MS;

	past->judged_at = now;
	if (log)
		past->logged_at = now;
	count_waiting_steps(&scheduler->term.model, now);
	zr_past_use_decay(&past->totals, now);
	judge(scheduler);
	apply_judgement(scheduler, log);
}

void zr_cell_past_use_process(struct zr_cell_scheduler *scheduler, int64_t now)
{
	if (!scheduler->term.model.use.enabled)
		return;
	if (now - scheduler->term.past_use.judged_at >= INTERVAL_MS)
		refresh(scheduler, now);
	close_generation(scheduler, now);
	write_record(scheduler);
}

/* Only the owner's gauges have a value. */
void zr_cell_past_use_end_term(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_past_use *past = &scheduler->term.past_use;
	size_t i;

	if (!is_enabled(scheduler))
		return;
	for (i = 0; i < past->totals.count; i++)
		set_gauge(scheduler, &past->totals.accounts[i], 0);
	zr_past_use_clear(&past->totals);
	free(past->snapshot.data);
	scheduler->past_use_runs->value = 0;
}

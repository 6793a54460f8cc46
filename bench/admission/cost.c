#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "admission/admission.h"
#include "cell/plan.h"
#include "cell/policy/admission.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"

/* Sizes of the deployments, as multiples of the number of workers. */
#define WORKER_MILLICPUS 24000
#define TASKS_PER_JOB 25
#define RUNNING_JOBS_PERCENT 95 /* of the workers, 25 tasks each */
#define ENDED_JOBS_PER_WORKER 5
#define ACCOUNTS 20
#define QUEUES 9
#define DECISIONS 200000
#define START_MS 1000000

struct fixture {
	struct fake_net *net;
	struct fake_store *fake_store;
	struct zr_store store;
	struct zr_metrics *metrics;
	struct zr_cell_scheduler scheduler;
};

static void add_workers(struct fixture *fixture, unsigned int count)
{
	struct zr_cell_worker *worker;
	char name[ZR_NAME_MAX];
	unsigned int i;

	for (i = 0; i < count; i++) {
		snprintf(name, sizeof(name), "i-%010x", i);
		worker = zr_cell_worker_get_or_add(
			&fixture->scheduler.term.model, name);
		strcpy(worker->report.pool, "general");
		worker->report.capacity =
			(struct zr_resources){WORKER_MILLICPUS, 65536, 0};
		worker->registered = true;
		worker->candidate_index = i + 1;
	}
}

static struct zr_cell_job *add_job(struct fixture *fixture, unsigned int number)
{
	struct zr_cell_job_spec spec = {.step_count = 1};
	struct zr_cell_job *job;
	char id[ZR_NAME_MAX];
	char client[ZR_NAME_MAX];

	spec.steps = calloc(1, sizeof(*spec.steps));
	spec.payload = strdup("");
	if (!spec.steps || !spec.payload)
		abort();
	spec.steps[0] = (struct zr_cell_step_spec){
		.count = TASKS_PER_JOB,
		.need = {900, 1024, 0},
		.estimate_ms = 2500,
	};
	snprintf(id, sizeof(id), "%016x", number);
	snprintf(client, sizeof(client), "client-%u", number % ACCOUNTS);
	job = zr_cell_job_add(&fixture->scheduler.term.model, id, &spec,
			      client);
	snprintf(job->queue, sizeof(job->queue), "queue-%u", number % QUEUES);
	strcpy(job->terms.pool, "general");
	job->priority = number % CLASS_COUNT;
	job->stretch_permille = 4000;
	job->latency_target_ms = 3000;
	job->accepted_at = START_MS - number % 8000;
	job->over_share = !zr_cell_priority_charge(
		zr_cell_client(&fixture->scheduler.term.model, job->client),
		job->accepted_at);
	return job;
}

static void run_job(struct fixture *fixture, struct zr_cell_job *job,
		    unsigned int number)
{
	struct zr_cell_model *model = &fixture->scheduler.term.model;
	unsigned int worker_count = HASH_COUNT(model->worker_by_name);
	char name[ZR_NAME_MAX];
	uint32_t i;

	for (i = 0; worker_count && i < job->task_count; i++) {
		snprintf(name, sizeof(name), "i-%010x",
			 (number * TASKS_PER_JOB + i) % worker_count);
		zr_cell_task_begin_run(model, job, i,
				       zr_cell_worker_find(model, name),
				       ZR_TASK_EVENT_FOUND);
	}
	job->has_started = true;
}

/* A full cell: as many jobs wait as run, and others have ended. */
static void add_jobs(struct fixture *fixture, unsigned int workers)
{
	unsigned int running = workers * RUNNING_JOBS_PERCENT / 100;
	unsigned int ended = workers * ENDED_JOBS_PER_WORKER;
	unsigned int number;

	for (number = 0; number < 2 * running + ended; number++) {
		struct zr_cell_job *job = add_job(fixture, number);

		if (number >= 2 * running) {
			job->state = ZR_CELL_JOB_COMPLETED;
			zr_cell_job_free_tasks(&fixture->scheduler.term.model,
					       job);
			continue;
		}
		zr_cell_job_update(&fixture->scheduler.term.model, job,
				   START_MS, 0);
		if (number < running)
			run_job(fixture, job, number);
	}
}

static void add_runs(struct fixture *fixture)
{
	int class;
	int i;

	for (class = 0; class < CLASS_COUNT; class ++) {
		for (i = 0; i < ZR_RUN_TIMES_KEPT; i++)
			zr_run_times_add(
				&fixture->scheduler.term.run_times[class], 1000,
				900 + i * 3);
	}
}

static void persisted(void *ctx, struct zr_cell_job *job)
{
	(void)ctx;
	(void)job;
}

static void ignore(void *ctx)
{
	(void)ctx;
}

static void set_up(struct fixture *fixture, unsigned int workers)
{
	static const struct zr_cell_journal_events events = {persisted, ignore,
							     ignore};
	struct zr_cell_scheduler *scheduler = &fixture->scheduler;
	struct fake_node *host;
	int i;

	fixture->net = fake_net_new();
	fixture->fake_store = fake_store_new(fixture->net, "store");
	host = fake_node_new(fixture->net, "host");
	fake_store_client(&fixture->store, fixture->fake_store, host);
	zr_metrics_new(&fixture->metrics);
	if (zr_cell_model_init(&scheduler->term.model) < 0 ||
	    zr_cell_journal_new(&scheduler->journal,
				fake_time_timers(fake_node_time(host)),
				fake_time_clock(fake_node_time(host)),
				&fixture->store, &scheduler->term.model,
				fixture->metrics, &events, NULL) < 0)
		abort();
	for (i = 0; i < ACCOUNTS; i++) {
		char client[ZR_NAME_MAX];

		snprintf(client, sizeof(client), "client-%d", i);
		zr_cell_client(&scheduler->term.model,
			       zr_cell_client_get_or_add(&scheduler->term.model,
							 client))
			->weight = 4;
	}
	add_workers(fixture, workers);
	add_jobs(fixture, workers);
	add_runs(fixture);
}

static void tear_down(struct fixture *fixture)
{
	zr_cell_journal_free(fixture->scheduler.journal);
	zr_cell_model_clear(&fixture->scheduler.term.model);
	zr_store_free(&fixture->store);
	zr_metrics_free(fixture->metrics);
	fake_store_free(fixture->fake_store);
	fake_net_free(fixture->net);
}

static double processor_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Publishes records; returns the processor time of one. */
static double publish(struct fixture *fixture, bool admission,
		      unsigned int repeats)
{
	struct zr_cell_scheduler *scheduler = &fixture->scheduler;
	double began_us = processor_us();
	unsigned int i;

	scheduler->options.admission = admission;
	scheduler->term.summary_due_at = 1;
	for (i = 0; i < repeats; i++) {
		scheduler->term.counts_published_at = 0;
		zr_cell_summary_process(scheduler, START_MS);
	}
	return (processor_us() - began_us) / repeats;
}

/* Size of the record that the journal writes. */
static unsigned long written_bytes(struct fixture *fixture)
{
	unsigned long before =
		fake_store_counts(fixture->fake_store)->bytes_written;

	zr_cell_journal_open(fixture->scheduler.journal, "owner", 0);
	zr_cell_journal_flush(fixture->scheduler.journal);
	fake_net_advance(fixture->net, 100);
	zr_cell_journal_close(fixture->scheduler.journal);
	return fake_store_counts(fixture->fake_store)->bytes_written - before;
}

static double decisions_per_s(void)
{
	struct zr_cell_step_spec step = {
		.count = 3, .need = {.millicpus = 1000}, .estimate_ms = 750};
	const struct zr_cell_job_spec spec = {.steps = &step, .step_count = 1};
	struct zr_admission_class classes[CLASS_COUNT];
	const struct zr_admission_pool pool = {
		.capacity = {1000000},
		.used_permille = {950},
		.classes = classes,
		.class_count = CLASS_COUNT,
	};
	struct zr_admission_job job = {.spec = &spec, .objective_ms = 1375};
	struct zr_admission_verdict verdict;
	double began_us;
	unsigned int i;

	memset(classes, 0, sizeof(classes));
	for (i = 0; i < CLASS_COUNT; i++) {
		classes[i].priority = i;
		classes[i].run_permille = 1000;
		classes[i].waiting_ms[ZR_ADMISSION_ON_TIME][0] = 2500;
	}
	began_us = processor_us();
	for (i = 0; i < DECISIONS; i++) {
		job.over_share = i % 2;
		job.hash = i;
		zr_admission_decide(&verdict, &pool, &job);
	}
	return DECISIONS * 1e6 / (processor_us() - began_us);
}

struct cost run_cost(unsigned int workers, unsigned int repeats)
{
	struct fixture *fixture = calloc(1, sizeof(*fixture));
	struct zr_cell_step_state *step;
	struct cost cost = {.workers = workers};

	if (!fixture)
		abort();
	set_up(fixture, workers);
	for (step = fixture->scheduler.term.model.ready; step;
	     step = step->next)
		cost.waiting += step->waiting;
	cost.counts_us = publish(fixture, false, repeats);
	cost.counts_bytes = written_bytes(fixture);
	cost.summary_us = publish(fixture, true, repeats);
	cost.summary_bytes = written_bytes(fixture);
	cost.decisions_per_s = decisions_per_s();
	tear_down(fixture);
	free(fixture);
	return cost;
}

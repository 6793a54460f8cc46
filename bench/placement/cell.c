#include "placement/cell.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cell/records.h"
#include "cell/scheduler.h"
#include "fakes/fake_pool.h"
#include "fakes/fake_store.h"
#include "fakes/rng.h"

#define WORKER_PREFIX "workers/"
#define WORKER_MILLICPUS 8000
#define TASK_MILLICPUS 4000
#define WORKERS_PER_PROXY 8
#define PROXIES_MAX 640
#define PERMITTED_PERCENT 25
#define ADVISE_MS 100
#define ADVISE_WORKER_US 8000
#define PERMIT_MS 1500
#define WARM_UP_MS 8000
#define LEASE_MS 5500
#define LEASE_MAX_MS 6000
#define KEEP_ENDED_MS 1000
#define PLAN_TIMER 1 /* the scheduler creates its timers in this order */

/* A class of jobs; of ten jobs, as many are of the class. */
static const struct job_class {
	const char *queue;
	uint32_t flags;
	uint32_t tasks;
	uint32_t run_ms;
	uint32_t estimate_ms;
	uint32_t stretch_permille;
	uint32_t target_ms;
	uint32_t of_ten;
} classes[CELL_CLASSES] = {
	{"urgent", 0, 3, 750, 900, 1500, 250, 7},
	{"gang", ZR_STEP_GANG, 20, 5000, 4000, 2200, 1000, 1},
	{"batch", ZR_STEP_CHECKPOINTS, 25, 2500, 2600, 4000, 3000, 2},
};

#define KINDS 3

static const struct {
	const char *kind;
	uint32_t permille;
} kinds[KINDS] = {{"old", 600}, {"mid", 1000}, {"new", 1600}};

/* Number of tasks of ten jobs. */
#define TASKS_OF_TEN (7 * 3 + 20 + 2 * 25)

/* A submitted job. */
struct job {
	enum cell_class class;
	bool counted;
	uint32_t open_tasks;
	uint32_t slowest_permille;
	int64_t due_at;
};

struct cell {
	const struct cell_load *load;
	struct cell_result *result;
	struct rng rng;
	struct fake_net *net;
	struct fake_store *store;
	struct fake_pool *pool;
	struct fake_node *node;
	struct zr_cell_platform platform;
	struct zr_cell_scheduler *scheduler;
	struct zr_metrics *metrics;
	struct zr_timers timers;
	unsigned int timer_count;
	struct zr_cell_queue queues[CELL_CLASSES];
	struct zr_cell_client client;
	struct zr_cell_config config;
	struct job *jobs;
	uint32_t job_count;
	uint32_t job_alloc;
	bool counting;
	double due; /* jobs to submit, with the part of the next one */
};

static struct fake_pool *decoder_pool;

static int64_t now_ms(const struct cell *cell)
{
	return fake_net_now_ms(cell->net);
}

/* Timers, of which that of the passes is measured */

struct timed {
	struct zr_timer timer;
	struct zr_timer *real;
	struct cell *cell;
	zr_timer_fn fire;
	void *ctx;
	bool measured;
};

static uint64_t cpu_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (uint64_t)time.tv_sec * 1000000000 + (uint64_t)time.tv_nsec;
}

static void on_fire(void *ctx)
{
	struct timed *timed = ctx;
	uint64_t began = cpu_ns();

	timed->fire(timed->ctx);
	if (!timed->measured || !timed->cell->counting)
		return;
	timed->cell->result->plan_ns += cpu_ns() - began;
	timed->cell->result->passes++;
}

static struct zr_timer *timed_create(void *impl, zr_timer_fn fire, void *ctx)
{
	struct cell *cell = impl;
	struct timed *timed = calloc(1, sizeof(*timed));

	timed->cell = cell;
	timed->fire = fire;
	timed->ctx = ctx;
	timed->measured = cell->timer_count++ == PLAN_TIMER;
	timed->real = zr_timer_new(fake_time_timers(fake_node_time(cell->node)),
				   on_fire, timed);
	return &timed->timer;
}

static void timed_start(struct zr_timer *timer, unsigned int after_ms,
			unsigned int repeat_ms)
{
	zr_timer_start(((struct timed *)timer)->real, after_ms, repeat_ms);
}

static void timed_stop(struct zr_timer *timer)
{
	zr_timer_stop(((struct timed *)timer)->real);
}

static void timed_destroy(struct zr_timer *timer)
{
	zr_timer_free(((struct timed *)timer)->real);
	free(timer);
}

static const struct zr_timers_ops timed_ops = {timed_create, timed_start,
					       timed_stop, timed_destroy};

/* Platform */

static int decode_worker(struct zr_cell_worker_report *out,
			 const struct zr_store_value *value)
{
	return fake_pool_report(decoder_pool,
				value->key + strlen(WORKER_PREFIX), out);
}

static int open_worker_conn(void *ctx, struct zr_cell_worker_conn *out,
			    const char *address, const char *worker)
{
	struct cell *cell = ctx;

	(void)address;
	return fake_pool_open(cell->pool, cell->node, out, worker);
}

/* A query to the adviser that is answered when its time is over. */
struct query {
	struct zr_timer *timer;
	struct zr_cell_permit permits[ZR_CELL_ADVISE_MAX];
	char workers[ZR_CELL_ADVISE_MAX][ZR_NAME_MAX];
	size_t count;
	zr_cell_advise_fn done;
	void *ctx;
};

static void on_query_time(void *ctx)
{
	struct query *query = ctx;

	query->done(query->ctx, 0, query->permits, query->count, PERMIT_MS);
	zr_timer_free(query->timer);
	free(query);
}

/* The adviser's answer for a job and a worker never changes. */
static bool is_permitted(const char *job, const char *worker)
{
	uint64_t hash = 14695981039346656037U;
	struct rng rng;

	for (; *job; job++)
		hash = (hash ^ (uint8_t)*job) * 1099511628211U;
	for (; *worker; worker++)
		hash = (hash ^ (uint8_t)*worker) * 1099511628211U;
	rng = (struct rng){hash};
	return rng_chance(&rng, PERMITTED_PERCENT);
}

static void query_adviser(void *ctx, const char *job, uint32_t occurrence,
			  uint32_t step, const char *const *workers,
			  size_t count, unsigned int timeout_ms,
			  zr_cell_advise_fn done, void *done_ctx)
{
	struct cell *cell = ctx;
	struct query *query = calloc(1, sizeof(*query));
	size_t i;

	(void)occurrence;
	(void)step;
	(void)timeout_ms;
	if (cell->counting)
		cell->result->named += count;
	for (i = 0; i < count; i++) {
		if (!is_permitted(job, workers[i]))
			continue;
		snprintf(query->workers[query->count], ZR_NAME_MAX, "%s",
			 workers[i]);
		query->permits[query->count] = (struct zr_cell_permit){
			query->workers[query->count], "ticket"};
		query->count++;
	}
	query->done = done;
	query->ctx = done_ctx;
	query->timer =
		zr_timer_new(fake_time_timers(fake_node_time(cell->node)),
			     on_query_time, query);
	zr_timer_start(
		query->timer,
		ADVISE_MS + (unsigned int)count * ADVISE_WORKER_US / 1000, 0);
}

/* Jobs */

static void submit(struct cell *cell, enum cell_class class);

/*
 * Counts an event `wNUMBER JOB.0.0.INDEX run N begun` or `... done`. A fake
 * gang ends with its fastest member, a real one with its slowest. So gangs are
 * counted by their starts and the speed of their slowest worker.
 */
static void on_pool_event(void *ctx, const char *text)
{
	struct cell *cell = ctx;
	const char *name = strchr(text, ' ');
	const char *what = strrchr(text, ' ');
	int64_t end = now_ms(cell);
	struct job *job;
	uint32_t permille;

	if (text[0] != 'w' || !name)
		return;
	job = &cell->jobs[strtoul(name + 1, NULL, 10)];
	permille = kinds[strtoul(text + 1, NULL, 10) % KINDS].permille;
	if (strcmp(what, job->class == CELL_GANG ? " begun" : " done") != 0)
		return;
	if (!job->slowest_permille || permille < job->slowest_permille)
		job->slowest_permille = permille;
	if (--job->open_tasks || !job->counted)
		return;
	if (job->class == CELL_GANG)
		end += (int64_t)classes[CELL_GANG].run_ms * 1000 /
		       job->slowest_permille;
	cell->result->on_time[job->class] += end <= job->due_at;
}

struct submission {
	struct cell *cell;
	char id[ZR_NAME_MAX];
	struct zr_cell_buffer record;
};

static void on_committed(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct submission *submission = ctx;

	(void)reply;
	if (!error)
		zr_cell_scheduler_notify_job(
			submission->cell->scheduler, submission->id,
			submission->record.data, submission->record.length);
	free(submission->record.data);
	free(submission);
}

static struct job *add_job(struct cell *cell, enum cell_class class)
{
	const struct job_class *of = &classes[class];
	struct job *job;

	if (cell->job_count == cell->job_alloc) {
		cell->job_alloc = cell->job_alloc ? 2 * cell->job_alloc : 1024;
		cell->jobs = realloc(cell->jobs,
				     cell->job_alloc * sizeof(*cell->jobs));
	}
	job = &cell->jobs[cell->job_count++];
	*job = (struct job){
		.class = class,
		.counted = cell->counting,
		.open_tasks = of->tasks,
		.due_at =
			now_ms(cell) + of->target_ms +
			(int64_t)of->estimate_ms * of->stretch_permille / 1000,
	};
	cell->result->jobs[class] += job->counted;
	return job;
}

static void submit(struct cell *cell, enum cell_class class)
{
	const struct job_class *of = &classes[class];
	struct submission *submission = calloc(1, sizeof(*submission));
	char payload[ZR_NAME_MAX];
	struct zr_cell_step_spec step = {
		.count = of->tasks,
		.need = {TASK_MILLICPUS, 1, 0},
		.estimate_ms = of->estimate_ms,
		.flags = of->flags,
	};
	struct zr_cell_job_spec spec = {
		.payload = payload, .steps = &step, .step_count = 1};
	zx_cell_job record = {
		.queue = (char *)of->queue,
		.client = "c",
		.pool = "pool",
		.attempts = 2,
		.priority = class,
		.stretch_permille = of->stretch_permille,
		.latency_target_ms = of->target_ms,
	};
	const struct zr_clock *clock =
		fake_time_clock(fake_node_time(cell->node));
	char key[ZR_CELL_KEY_MAX];
	struct zr_store_put write = {key, NULL, 0, 0};
	const struct zr_store_txn txn = {NULL, 0, &write, 1};

	snprintf(payload, sizeof(payload), "%s%u:%u",
		 class == CELL_BATCH && rng_chance(&cell->rng, 50) ? "t" : "",
		 of->run_ms, TASK_MILLICPUS);
	record.accepted_ms = zr_time_to_ms(clock->realtime(clock->ctx));
	zr_cell_record_from_spec(&record, &spec);
	zr_cell_encode(&submission->record, (xdrproc_t)xdr_zx_cell_job,
		       &record);
	zr_cell_record_clear(&record);
	submission->cell = cell;
	snprintf(submission->id, sizeof(submission->id), "%u", cell->job_count);
	add_job(cell, class);
	snprintf(key, sizeof(key), ZR_CELL_JOB_PREFIX "%s", submission->id);
	write.data = submission->record.data;
	write.length = submission->record.length;
	zr_store_commit(&cell->platform.store, ZR_STORE_OTHER, &txn,
			on_committed, submission);
}

static enum cell_class pick_class(struct cell *cell)
{
	uint32_t choice = rng_below(&cell->rng, 10);

	if (choice < classes[CELL_URGENT].of_ten)
		return CELL_URGENT;
	return choice < classes[CELL_URGENT].of_ten + classes[CELL_GANG].of_ten
		       ? CELL_GANG
		       : CELL_BATCH;
}

static void step(struct cell *cell)
{
	double jobs_per_ms =
		(double)cell->load->starts_per_s * 10 / TASKS_OF_TEN / 1000;

	decoder_pool = cell->pool;
	for (cell->due += jobs_per_ms; cell->due >= 1; cell->due--)
		submit(cell, pick_class(cell));
	fake_net_advance(cell->net, 1);
	fake_pool_tick(cell->pool);
}

/* Setup */

static void on_registered(void *ctx, int error,
			  const struct zr_store_reply *reply)
{
	(void)ctx;
	(void)reply;
	if (error < 0)
		abort();
}

static void add_workers(struct cell *cell)
{
	uint32_t i;

	for (i = 0; i < cell->load->workers; i++) {
		char name[ZR_NAME_MAX];
		char domain[ZR_NAME_MAX];
		char key[ZR_CELL_KEY_MAX];
		const struct zr_store_put write = {key, "1", 1, 0};
		const struct zr_store_txn txn = {NULL, 0, &write, 1};

		snprintf(name, sizeof(name), "w%u", i);
		snprintf(domain, sizeof(domain), "d%u", i / 3 % 4);
		fake_pool_add(cell->pool, name, WORKER_MILLICPUS);
		fake_pool_set_domain(cell->pool, name, domain);
		fake_pool_set_speed(cell->pool, name, kinds[i % KINDS].permille,
				    kinds[i % KINDS].kind);
		snprintf(key, sizeof(key), WORKER_PREFIX "%s", name);
		zr_store_commit(&cell->platform.store, ZR_STORE_OTHER, &txn,
				on_registered, NULL);
	}
}

static void configure(struct cell *cell)
{
	uint32_t i;

	for (i = 0; i < CELL_CLASSES; i++) {
		struct zr_cell_queue *queue = &cell->queues[i];

		snprintf(queue->name, sizeof(queue->name), "%s",
			 classes[i].queue);
		snprintf(queue->pool, sizeof(queue->pool), "pool");
		queue->priority = i;
		queue->attempts = 2;
		queue->stretch_permille = classes[i].stretch_permille;
		queue->latency_target_ms = classes[i].target_ms;
		queue->advised = true;
		queue->advise_ms = ADVISE_MS;
		queue->advise_worker_us = ADVISE_WORKER_US;
		queue->permit_ms = PERMIT_MS;
	}
	snprintf(cell->client.name, sizeof(cell->client.name), "c");
	cell->config = (struct zr_cell_config){
		.version = 1,
		.queues = cell->queues,
		.queue_count = CELL_CLASSES,
		.clients = &cell->client,
		.client_count = 1,
	};
	zr_cell_scheduler_configure(cell->scheduler, &cell->config);
}

static void set_proxies(struct cell *cell)
{
	struct zr_cell_adviser_proxy proxies[PROXIES_MAX] = {0};
	size_t count = cell->load->workers / WORKERS_PER_PROXY;
	size_t i;

	for (i = 0; i < count; i++) {
		proxies[i].query = query_adviser;
		proxies[i].ctx = cell;
		snprintf(proxies[i].name, ZR_NAME_MAX, "h%zu", i);
	}
	zr_cell_scheduler_set_proxies(cell->scheduler, proxies, count);
}

static void start_cell(struct cell *cell)
{
	struct zr_cell_scheduler_options options = {
		.timers = &cell->timers,
		.platform = &cell->platform,
		.limits = {LEASE_MS, LEASE_MAX_MS, KEEP_ENDED_MS},
		.host = "h0",
		.cell = "main",
		.worker_speed = cell->load->worker_speed,
	};

	cell->net = fake_net_new();
	cell->store = fake_store_new(cell->net, "store");
	cell->pool = fake_pool_new(cell->net, on_pool_event, cell);
	fake_pool_save_checkpoints(cell->pool, 0);
	decoder_pool = cell->pool;
	cell->node = fake_node_new(cell->net, "h0");
	cell->platform = (struct zr_cell_platform){
		.worker_prefix = WORKER_PREFIX,
		.worker_decode = decode_worker,
		.worker_conn_open = open_worker_conn,
		.advise = query_adviser,
		.ctx = cell,
	};
	cell->timers = (struct zr_timers){&timed_ops, cell};
	fake_store_client(&cell->platform.store, cell->store, cell->node);
	zr_metrics_new(&cell->metrics);
	options.metrics = cell->metrics;
	options.clock = fake_time_clock(fake_node_time(cell->node));
	add_workers(cell);
	fake_net_advance(cell->net, 1000);
	if (zr_cell_scheduler_new(&cell->scheduler, &options) < 0)
		abort();
	configure(cell);
	set_proxies(cell);
	fake_net_advance(cell->net, 1000);
}

static uint64_t starts(struct cell *cell)
{
	return (uint64_t)zr_metrics_get_or_add_counter(
		       cell->metrics, "zinniarack_cell_starts_total", NULL, "")
		->value;
}

static void set_counting(struct cell *cell, bool counting)
{
	cell->counting = counting;
	cell->result->starts = starts(cell) - cell->result->starts;
}

static void free_cell(struct cell *cell)
{
	cell->result->violations = fake_pool_violations(cell->pool);
	zr_cell_scheduler_free(cell->scheduler);
	zr_store_free(&cell->platform.store);
	zr_metrics_free(cell->metrics);
	fake_pool_free(cell->pool);
	fake_store_free(cell->store);
	fake_net_free(cell->net);
	free(cell->jobs);
}

void cell_run_pair(struct cell_result out[2], const struct cell_load loads[2])
{
	uint32_t counted_until = WARM_UP_MS + loads[0].seconds * 1000;
	struct cell cells[2] = {0};
	uint32_t ms;
	int i;

	memset(out, 0, 2 * sizeof(*out));
	for (i = 0; i < 2; i++) {
		cells[i].load = &loads[i];
		cells[i].result = &out[i];
		cells[i].rng = (struct rng){1};
		start_cell(&cells[i]);
	}
	/* Jobs that were submitted last get time to end. */
	for (ms = 0; ms < counted_until + WARM_UP_MS; ms++) {
		for (i = 0; i < 2; i++) {
			if (ms == WARM_UP_MS || ms == counted_until)
				set_counting(&cells[i], ms == WARM_UP_MS);
			step(&cells[i]);
		}
	}
	for (i = 0; i < 2; i++)
		free_cell(&cells[i]);
}

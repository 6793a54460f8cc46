/*
 * Runs a script over the schedulers of one cell that share a fake store, a fake
 * adviser and fake workers. One verb a line:
 *
 *   host NAME                  a process that competes for the cell
 *   worker NAME MILLICPUS [DOMAIN]
 *   queue advised              questions to the adviser are needed from now on
 *   limit MILLICPUS            upper limit of the client account
 *   priority N                 of jobs submitted from now on
 *   target MS                  time until they are late
 *   submit HOST JOB STEP...    as an entry host writes it, and tells of it
 *                              where the cell is owned. STEP is
 *                              [gang,|saves,]COUNTxMILLICPUS:MS[@AFTER];
 *                              MS may be fMS for tasks that fail
 *   cancel HOST JOB            as an entry host writes it
 *   state HOST JOB             where it stands, as the store tells
 *   ask HOST JOB               where it stands, as that host answers callers
 *   waiting HOST               waiting jobs, as the store tells
 *   questions                  how many the adviser was asked
 *   run MS                     let time pass
 *   clock HOST MS              how coarse a host's clock is
 *   link FROM TO pass|hold|drop|double|refuse    `*` stands for any
 *   release FROM TO [reverse]  let held messages go
 *   pause NODE, resume NODE, kill HOST, stop HOST
 *   restart WORKER, replace WORKER, hang WORKER
 *
 * Nodes are the hosts, the workers, "store" and "adviser". The pool prints
 * `VIOLATION` when a rule is broken.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/records.h"
#include "cell/scheduler.h"
#include "fakes/fake_pool.h"
#include "fakes/fake_store.h"
#include "zinniarack/errors.h"
#include "zinniarack/frontend.h"
#include "zinniarack/log.h"

#define LINE_MAX_BYTES 256
#define WORDS_MAX 12
#define HOSTS_MAX 8
#define STEPS_MAX 8
#define WORKER_PREFIX "workers/"
#define TIMEOUT_MS 1000

struct host {
	struct script *script;
	struct zr_clock clock;
	int64_t clock_ms;
	struct fake_node *node;
	struct zr_cell_surroundings surroundings;
	struct zr_cell_scheduler *scheduler;
	struct zr_metrics *metrics;
	char name[ZR_NAME_MAX];
};

struct script {
	struct fake_net *net;
	struct fake_store *store;
	struct fake_pool *pool;
	struct fake_node *adviser;
	struct host hosts[HOSTS_MAX];
	size_t host_count;
	struct zr_cell_queue queue;
	struct zr_cell_client client;
	struct zr_cell_config config;
	uint32_t priority;
	uint32_t target_ms;
	unsigned int questions;
	char *words[WORDS_MAX];
	int count;
};

/* The pool that registry entries are read from: decoders have no context. */
static struct fake_pool *decoding_pool;

static void print_event(void *ctx, const char *text)
{
	struct script *script = ctx;

	printf("%6ld %s\n", fake_net_now_ms(script->net), text);
}

static const char *word(const struct script *script, int index)
{
	return index < script->count ? script->words[index] : "";
}

static struct host *find_host(struct script *script, const char *name)
{
	size_t i;

	for (i = 0; i < script->host_count; i++) {
		if (script->hosts[i].scheduler &&
		    !strcmp(script->hosts[i].name, name))
			return &script->hosts[i];
	}
	fprintf(stderr, "no host '%s'\n", name);
	exit(2);
}

/* Surroundings */

static int decode_worker(struct zr_worker_report *out,
			 const struct zr_store_value *value)
{
	return fake_pool_report(decoding_pool,
				value->key + strlen(WORKER_PREFIX), out);
}

static int open_orders(void *ctx, struct zr_cell_orders *out,
		       const char *address, const char *worker)
{
	struct host *host = ctx;

	(void)address;
	return fake_pool_open(host->script->pool, host->node, out, worker);
}

/* The adviser permits every worker that it is asked about. */
struct question {
	struct zr_cell_permit permits[ZR_CELL_ADVISE_MAX];
	size_t count;
	zr_cell_advise_fn done;
	void *ctx;
};

static void serve_question(struct fake_call *call, void *ctx)
{
	(void)ctx;
	fake_call_reply(call);
}

static void finish_question(void *ctx, enum fake_result result)
{
	struct question *question = ctx;

	if (result == FAKE_ANSWERED)
		question->done(question->ctx, 0, question->permits,
			       question->count, 0);
	else
		question->done(question->ctx, ZR_E_UNREACHABLE, NULL, 0, 0);
}

static const struct fake_call_ops question_ops = {serve_question,
						  finish_question, free};

static void ask_adviser(void *ctx, const char *job, uint32_t occurrence,
			uint32_t step, const char *const *workers, size_t count,
			unsigned int timeout_ms, zr_cell_advise_fn done,
			void *done_ctx)
{
	struct host *host = ctx;
	struct question *question = calloc(1, sizeof(*question));
	size_t i;

	host->script->questions++;
	(void)job;
	(void)occurrence;
	(void)step;
	for (i = 0; i < count; i++) {
		snprintf(question->permits[i].worker, ZR_NAME_MAX, "%s",
			 workers[i]);
		strcpy(question->permits[i].ticket, "ticket");
	}
	question->count = count;
	question->done = done;
	question->ctx = done_ctx;
	fake_call_send(host->node, host->script->adviser, &question_ops,
		       question, timeout_ms);
}

/* Verbs */

static struct timespec read_coarse(void *ctx)
{
	struct host *host = ctx;
	int64_t now = zr_time_to_ms(
		zr_clock_now(fake_time_clock(fake_node_time(host->node))));

	return zr_time_from_ms(now - now % host->clock_ms);
}

static struct timespec read_today(void *ctx)
{
	struct host *host = ctx;
	const struct zr_clock *clock =
		fake_time_clock(fake_node_time(host->node));

	return clock->realtime(clock->ctx);
}

static void do_clock(struct script *script)
{
	find_host(script, word(script, 1))->clock_ms = atoi(word(script, 2));
}

static void do_host(struct script *script)
{
	struct host *host = &script->hosts[script->host_count++];
	struct zr_cell_helper helper = {.ask = ask_adviser, .ctx = host};
	struct zr_cell_scheduler_options options = {
		.surroundings = &host->surroundings,
		.limits = {5500, 6000, 130000},
		.cell = "main",
	};

	/* A name used before is a new process of that host. */
	snprintf(host->name, sizeof(host->name), "%s", word(script, 1));
	host->script = script;
	host->node = fake_node_new(script->net, host->name);
	zr_metrics_new(&host->metrics);
	host->surroundings = (struct zr_cell_surroundings){
		.worker_prefix = WORKER_PREFIX,
		.worker_decode = decode_worker,
		.orders_open = open_orders,
		.advise = ask_adviser,
		.ctx = host,
	};
	fake_store_client(&host->surroundings.store, script->store, host->node);
	options.timers = fake_time_timers(fake_node_time(host->node));
	host->clock_ms = 1;
	host->clock = (struct zr_clock){read_coarse, read_today, host};
	options.clock = &host->clock;
	options.host = host->name;
	options.metrics = host->metrics;
	if (zr_cell_scheduler_new(&host->scheduler, &options) < 0)
		abort();
	snprintf(helper.name, sizeof(helper.name), "%s", host->name);
	zr_cell_scheduler_helpers(host->scheduler, &helper, 1);
	zr_cell_scheduler_configure(host->scheduler, &script->config);
}

static void on_written(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct script *script = ctx;

	if (error < 0 || !reply->succeeded)
		printf("%6ld write failed: %s\n", fake_net_now_ms(script->net),
		       error < 0 ? zr_error_name(error) : "conflict");
}

/* A write of an entry host, of which it tells the owner. */
struct news {
	struct script *script;
	char job[ZR_NAME_MAX];
	char *record; /* NULL for a cancellation */
	size_t length;
};

static void on_accepted(void *ctx, int error,
			const struct zr_store_reply *reply)
{
	struct news *news = ctx;
	struct script *script = news->script;
	size_t i;

	on_written(script, error, reply);
	for (i = 0; !error && i < script->host_count; i++) {
		if (script->hosts[i].scheduler)
			zr_cell_scheduler_news(script->hosts[i].scheduler,
					       news->job, news->record,
					       news->length);
	}
	free(news->record);
	free(news);
}

static void put_job(struct script *script, struct host *host, const char *key,
		    const char *record, size_t length)
{
	const struct zr_store_put write = {key, record ? record : "1",
					   record ? length : 1, 0};
	const struct zr_store_txn txn = {NULL, 0, &write, 1};
	struct news *news = calloc(1, sizeof(*news));

	news->script = script;
	snprintf(news->job, sizeof(news->job), "%s", word(script, 2));
	if (record) {
		news->record = malloc(length);
		memcpy(news->record, record, length);
		news->length = length;
	}
	zr_store_commit(&host->surroundings.store, ZR_STORE_OTHER, &txn,
			on_accepted, news);
}

static void put(struct script *script, struct host *host, const char *key,
		const void *data, size_t length)
{
	const struct zr_store_put write = {key, data, length, 0};
	const struct zr_store_txn txn = {NULL, 0, &write, 1};

	zr_store_commit(&host->surroundings.store, ZR_STORE_OTHER, &txn,
			on_written, script);
}

static void do_worker(struct script *script)
{
	char key[ZR_CELL_KEY_MAX];

	fake_pool_add(script->pool, word(script, 1),
		      (uint32_t)atoi(word(script, 2)));
	fake_pool_domain(script->pool, word(script, 1), word(script, 3));
	snprintf(key, sizeof(key), WORKER_PREFIX "%s", word(script, 1));
	put(script, &script->hosts[0], key, "1", 1);
}

static void do_priority(struct script *script)
{
	script->priority = (uint32_t)atoi(word(script, 1));
}

static void do_target(struct script *script)
{
	script->target_ms = (uint32_t)atoi(word(script, 1));
}

static void do_questions(struct script *script)
{
	printf("%6ld questions: %u\n", fake_net_now_ms(script->net),
	       script->questions);
}

static void configure(struct script *script)
{
	size_t i;

	for (i = 0; i < script->host_count; i++)
		if (script->hosts[i].scheduler)
			zr_cell_scheduler_configure(script->hosts[i].scheduler,
						    &script->config);
}

static void do_queue(struct script *script)
{
	script->queue.advised = !strcmp(word(script, 1), "advised");
	script->queue.permit_ms = 1500;
	script->queue.advise_ms = 10;
	configure(script);
}

static void do_limit(struct script *script)
{
	script->client.limit.millicpus = (uint32_t)atoi(word(script, 1));
	configure(script);
}

/* A step, and its entry in the payload: how long its tasks run. */
static void read_step(struct zr_cell_step *step, char *payload,
		      const char *text)
{
	const char *times = strchr(text, 'x');
	const char *colon = strchr(text, ':');
	const char *after = strchr(text, '@');

	if (!strncmp(text, "gang,", 5)) {
		step->flags = ZR_STEP_GANG;
		text += 5;
	} else if (!strncmp(text, "saves,", 6)) {
		step->flags = ZR_STEP_CHECKPOINTS;
		text += 6;
	}
	step->count = (uint32_t)atoi(text);
	step->need.millicpus = (uint32_t)atoi(times + 1);
	step->estimate_ms =
		(uint32_t)atoi(colon[1] == 'f' ? colon + 2 : colon + 1);
	step->after = calloc(1, sizeof(*step->after));
	if (after) {
		step->after[0] = (uint32_t)atoi(after + 1);
		step->after_count = 1;
	}
	snprintf(payload + strlen(payload), LINE_MAX_BYTES - strlen(payload),
		 "%s%s%d:%u", *payload ? "," : "", colon[1] == 'f' ? "f" : "",
		 atoi(colon[1] == 'f' ? colon + 2 : colon + 1),
		 step->need.millicpus);
}

static void do_submit(struct script *script)
{
	struct host *host = find_host(script, word(script, 1));
	struct zr_cell_step steps[STEPS_MAX] = {0};
	char payload[LINE_MAX_BYTES] = "";
	struct zr_cell_job_spec spec = {.payload = payload, .steps = steps};
	zx_cell_job record = {
		.queue = "q",
		.client = "c",
		.pool = "pool",
		.attempts = 2,
		.priority = script->priority,
		.latency_target_ms = script->target_ms,
	};
	const struct zr_clock *clock =
		fake_time_clock(fake_node_time(host->node));
	struct zr_cell_bytes bytes;
	char key[ZR_CELL_KEY_MAX];
	int i;

	for (i = 3; i < script->count; i++)
		read_step(&steps[spec.step_count++], payload, word(script, i));
	record.accepted_ms = zr_time_to_ms(clock->realtime(clock->ctx));
	zr_cell_record_of(&record, &spec);
	zr_cell_encode(&bytes, (xdrproc_t)xdr_zx_cell_job, &record);
	zr_cell_record_clear(&record);
	snprintf(key, sizeof(key), ZR_CELL_IN_PREFIX "%s", word(script, 2));
	put_job(script, host, key, bytes.data, bytes.length);
	free(bytes.data);
	for (i = 0; i < (int)spec.step_count; i++)
		free(steps[i].after);
}

static void do_cancel(struct script *script)
{
	char key[ZR_CELL_KEY_MAX];

	snprintf(key, sizeof(key), ZR_CELL_IN_PREFIX "%s%s", word(script, 2),
		 ZR_CELL_CANCEL_SUFFIX);
	put_job(script, find_host(script, word(script, 1)), key, NULL, 0);
}

static const char *const state_names[] = {"queued", "active", "completed",
					  "failed", "cancelled"};

static void on_state(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct script *script = ctx;
	zx_cell_progress record = {0};

	if (error < 0 || !reply->count ||
	    zr_cell_decode(&record, (xdrproc_t)xdr_zx_cell_progress,
			   reply->values[0].data,
			   reply->values[0].length) < 0) {
		printf("%6ld state: none\n", fake_net_now_ms(script->net));
		return;
	}
	printf("%6ld %s: %s\n", fake_net_now_ms(script->net),
	       reply->values[0].key, state_names[record.state]);
	xdr_free((xdrproc_t)xdr_zx_cell_progress, &record);
}

static void do_state(struct script *script)
{
	char key[ZR_CELL_KEY_MAX];

	snprintf(key, sizeof(key), ZR_CELL_AT_PREFIX "%s", word(script, 2));
	zr_store_range(&find_host(script, word(script, 1))->surroundings.store,
		       ZR_STORE_OTHER, key, false, on_state, script);
}

struct asking {
	struct script *script;
	char job[ZR_NAME_MAX];
};

static void on_answer(void *ctx, int error, enum zr_cell_job_state state)
{
	struct asking *asking = ctx;

	printf("%6ld %s is answered: %s\n",
	       fake_net_now_ms(asking->script->net), asking->job,
	       error < 0 ? zr_error_name(error) : state_names[state]);
	free(asking);
}

static void do_ask(struct script *script)
{
	struct asking *asking = calloc(1, sizeof(*asking));

	asking->script = script;
	snprintf(asking->job, sizeof(asking->job), "%s", word(script, 2));
	zr_cell_scheduler_state(find_host(script, word(script, 1))->scheduler,
				asking->job, on_answer, asking);
}

static void on_waiting(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct script *script = ctx;
	zx_cell_counts counts = {0};

	if (error < 0 || !reply->count ||
	    zr_cell_decode(&counts, (xdrproc_t)xdr_zx_cell_counts,
			   reply->values[0].data, reply->values[0].length) < 0)
		return;
	printf("%6ld waiting: %u\n", fake_net_now_ms(script->net),
	       counts.queues.queues_len ? counts.queues.queues_val[0].jobs : 0);
	xdr_free((xdrproc_t)xdr_zx_cell_counts, &counts);
}

static void do_waiting(struct script *script)
{
	zr_store_range(&find_host(script, word(script, 1))->surroundings.store,
		       ZR_STORE_OTHER, ZR_CELL_COUNTS_KEY, false, on_waiting,
		       script);
}

static void do_run(struct script *script)
{
	int ms = atoi(word(script, 1));

	for (; ms; ms--) {
		fake_net_advance(script->net, 1);
		fake_pool_tick(script->pool);
	}
}

static const char *link_end(const char *name)
{
	return strcmp(name, "*") ? name : NULL;
}

static void do_link(struct script *script)
{
	static const char *const modes[] = {"pass", "hold", "drop", "double",
					    "refuse"};
	int mode = 0;

	while (strcmp(modes[mode], word(script, 3)))
		mode++;
	fake_net_link(script->net, link_end(word(script, 1)),
		      link_end(word(script, 2)), (enum fake_link)mode);
}

static void do_release(struct script *script)
{
	fake_net_release(script->net, link_end(word(script, 1)),
			 link_end(word(script, 2)),
			 !strcmp(word(script, 3), "reverse"));
}

static void do_pause(struct script *script)
{
	fake_node_pause(fake_node_find(script->net, word(script, 1)), true);
}

static void do_resume(struct script *script)
{
	fake_node_pause(fake_node_find(script->net, word(script, 1)), false);
}

static void free_host(struct host *host)
{
	zr_cell_scheduler_free(host->scheduler);
	zr_store_free(&host->surroundings.store);
	zr_metrics_free(host->metrics);
	host->scheduler = NULL;
}

static void do_kill(struct script *script)
{
	struct host *host = find_host(script, word(script, 1));

	fake_node_kill(host->node);
	free_host(host);
}

static void on_released(void *ctx)
{
	struct host *host = ctx;

	printf("%6ld %s released\n", fake_net_now_ms(host->script->net),
	       host->name);
}

static void do_stop(struct script *script)
{
	struct host *host = find_host(script, word(script, 1));

	zr_cell_scheduler_release(host->scheduler, on_released, host);
}

static void do_outsized(struct script *script)
{
	zr_cell_scheduler_outsized(
		find_host(script, word(script, 1))->scheduler, true);
}

static void do_owner(struct script *script)
{
	size_t i;

	for (i = 0; i < script->host_count; i++) {
		const struct host *host = &script->hosts[i];

		if (host->scheduler &&
		    zr_cell_scheduler_active(host->scheduler))
			printf("%6ld owner: %s\n", fake_net_now_ms(script->net),
			       host->name);
	}
}

static void do_restart(struct script *script)
{
	fake_pool_restart(script->pool, word(script, 1));
}

static void do_hang(struct script *script)
{
	fake_pool_hang(script->pool, word(script, 1));
}

static void do_replace(struct script *script)
{
	fake_pool_replace(script->pool, word(script, 1));
}

static const struct {
	const char *name;
	void (*run)(struct script *script);
} verbs[] = {
	{"host", do_host},	 {"worker", do_worker},
	{"queue", do_queue},	 {"limit", do_limit},
	{"submit", do_submit},	 {"cancel", do_cancel},
	{"state", do_state},	 {"waiting", do_waiting},
	{"run", do_run},	 {"clock", do_clock},
	{"link", do_link},	 {"release", do_release},
	{"pause", do_pause},	 {"resume", do_resume},
	{"kill", do_kill},	 {"stop", do_stop},
	{"hang", do_hang},	 {"outsized", do_outsized},
	{"owner", do_owner},	 {"restart", do_restart},
	{"replace", do_replace}, {"priority", do_priority},
	{"target", do_target},	 {"questions", do_questions},
	{"ask", do_ask},
};

static void run_line(struct script *script, char *line)
{
	char *at = strtok(line, " \t\n");
	size_t i;

	script->count = 0;
	for (; at && *at != '#' && script->count < WORDS_MAX;
	     at = strtok(NULL, " \t\n"))
		script->words[script->count++] = at;
	if (!script->count)
		return;
	for (i = 0; i < sizeof(verbs) / sizeof(*verbs); i++) {
		if (!strcmp(verbs[i].name, script->words[0])) {
			verbs[i].run(script);
			return;
		}
	}
	fprintf(stderr, "unknown verb '%s'\n", script->words[0]);
	exit(2);
}

static void set_up(struct script *script)
{
	script->net = fake_net_new();
	script->store = fake_store_new(script->net, "store");
	script->adviser = fake_node_new(script->net, "adviser");
	script->pool = fake_pool_new(script->net, print_event, script);
	decoding_pool = script->pool;
	strcpy(script->queue.name, "q");
	strcpy(script->queue.pool, "pool");
	script->queue.attempts = 2;
	strcpy(script->client.name, "c");
	script->config = (struct zr_cell_config){
		.version = 1,
		.queues = &script->queue,
		.queue_count = 1,
		.clients = &script->client,
		.client_count = 1,
	};
}

static void tear_down(struct script *script)
{
	size_t i;

	printf("violations: %u\n", fake_pool_violations(script->pool));
	for (i = 0; i < script->host_count; i++) {
		if (script->hosts[i].scheduler)
			free_host(&script->hosts[i]);
	}
	fake_pool_free(script->pool);
	fake_store_free(script->store);
	fake_net_free(script->net);
}

int main(int argc, char **argv)
{
	static struct script script;
	char line[LINE_MAX_BYTES];
	FILE *file = argc == 2 ? fopen(argv[1], "r") : NULL;

	if (!file) {
		fprintf(stderr, "usage: run_cell SCRIPT\n");
		return 2;
	}
	/* To see why: the log of all hosts goes to standard error. */
	if (getenv("ZR_TRACE"))
		zr_log_init("run_cell", ZR_LOG_INFO, ZR_LOG_TEXT);
	set_up(&script);
	while (fgets(line, sizeof(line), file))
		run_line(&script, line);
	fclose(file);
	tear_down(&script);
	return 0;
}

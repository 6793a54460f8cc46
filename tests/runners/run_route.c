/*
 * Runs a script against routers, the escrow of each failure domain's
 * scheduler, and workers that answer by hand. One verb a line:
 *
 *   scheduler DOMAIN fresh|recover|stopped   a new owner of the domain
 *   worker DOMAIN WORKER SLOTS SERVICE...    a worker and its replicas
 *   leaving WORKER                           the host list's word
 *   entry ENTRY DOMAIN                       an entry daemon starts
 *   kill ENTRY                               it dies; its workers go on
 *   ask ENTRY DOMAIN [lost]                  one ask and its answer
 *   send ENTRY ID SERVICE MS [once] [team=T] [share=N] [worth=N]
 *   home up|down|lossy                       the homes of idempotency keys
 *   send-key ENTRY ID SERVICE MS KEY         must run once for this key
 *   cancel ENTRY ID                          the caller goes away
 *   answer TRY [STATUS]                      a worker's whole answer
 *   crossed TRY OTHER                        an answer that bears another id
 *   fail TRY ERROR                           how a try fails for its sender
 *   finish WORKER N                          answer its N oldest tries
 *   advance MS
 *   held WORKER                              slots that the escrow counts
 *   most WORKER                              most tries it had at once
 *   runs ID                                  tries of a request
 *   quiet on|off                             print no decisions or tries
 *   count                                    answers by kind since the last
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "fakes/fake_once.h"
#include "fakes/fake_peer.h"
#include "fakes/fake_time.h"
#include "route/grant_changes.h"
#include "route/grant_message.h"
#include "route/router.h"
#include "zinniarack/errors.h"

#define LINE_MAX_BYTES 512
#define WORDS_MAX 16
#define KINDS 32

struct worker {
	struct worker *next;
	char domain[ZR_NAME_MAX];
	char name[ZR_NAME_MAX];
	uint32_t slots;
	bool leaving;
	char services[WORDS_MAX][ZR_NAME_MAX];
	char *service_names[WORDS_MAX];
	u_int service_count;
};

struct scheduler {
	struct scheduler *next;
	char domain[ZR_NAME_MAX];
	struct zr_slot_escrow *escrow;
	struct zr_grant_changes *changes;
	uint64_t epoch;
	bool stopped;
};

struct entry {
	struct entry *next;
	char name[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	struct zr_router *router;
};

struct request {
	struct request *next;
	struct entry *entry;
	char id[ZR_NAME_MAX];
	zr_handle handle;
};

static struct {
	struct fake_time *time;
	struct fake_peers *peers;
	struct fake_once *homes;
	struct zr_once_backend once;
	struct zr_metrics *metrics;
	struct worker *workers;
	struct scheduler *schedulers;
	struct entry *entries;
	struct request *requests;
	uint64_t starts;
	bool quiet;
	unsigned int counts[KINDS];
	unsigned int ejected;
} run;

static void stop_with(const char *what, const char *word)
{
	fprintf(stderr, "%s: %s\n", what, word ? word : "");
	exit(2);
}

static void print_time(void)
{
	printf("%6lld ", (long long)fake_time_now_ms(run.time));
}

#define FIND(list, field, word, out)                       \
	do {                                               \
		LL_FOREACH(list, out)                      \
		{                                          \
			if (!strcmp((out)->field, word))   \
				break;                     \
		}                                          \
		if (!(out))                                \
			stop_with("no such " #list, word); \
	} while (0)

/* What happens */

static void on_sent(void *ctx, const char *address,
		    const struct zr_worker_client_call *call)
{
	(void)ctx;
	if (run.quiet)
		return;
	print_time();
	printf("%s gets %s for %u ms\n", address, call->id, call->timeout_ms);
}

static void on_decided(void *ctx, const struct zr_route_decision *decision)
{
	const struct entry *entry = ctx;

	if (!strcmp(decision->action, "eject"))
		run.ejected++;
	if (run.quiet)
		return;
	print_time();
	printf("%s %s %s%s%s%s reason=%s\n", entry->name, decision->action,
	       decision->request, *decision->request ? " " : "",
	       *decision->worker ? "on " : "", decision->worker,
	       decision->reason);
}

static void on_done(void *ctx, const struct zr_route_response *answer)
{
	const struct request *request = ctx;

	run.counts[-answer->error]++;
	if (run.quiet)
		return;
	print_time();
	printf("%s caller of %s gets ", request->entry->name, request->id);
	if (answer->error)
		printf("%s%s\n", zr_error_name(answer->error),
		       answer->retry_after_ms ? " with a time to come back"
					      : "");
	else
		printf("%d %.*s\n", answer->status, (int)answer->length,
		       (const char *)answer->body);
}

/* Verbs */

static void run_scheduler(char **words, int count)
{
	struct scheduler *scheduler = NULL;
	bool recover = count > 2 && !strcmp(words[2], "recover");

	LL_FOREACH(run.schedulers, scheduler)
	{
		if (!strcmp(scheduler->domain, words[1]))
			break;
	}
	if (!scheduler) {
		scheduler = calloc(1, sizeof(*scheduler));
		snprintf(scheduler->domain, ZR_NAME_MAX, "%s", words[1]);
		zr_grant_changes_new(&scheduler->changes);
		zr_slot_escrow_new(&scheduler->escrow,
				   fake_time_clock(run.time));
		LL_APPEND(run.schedulers, scheduler);
	}
	scheduler->stopped = !strcmp(words[2], "stopped");
	if (scheduler->stopped)
		return;
	scheduler->epoch++;
	zr_slot_escrow_begin_term(scheduler->escrow, recover);
	zr_grant_changes_clear(scheduler->changes);
}

static void run_worker(char **words, int count)
{
	struct worker *worker = calloc(1, sizeof(*worker));
	int i;

	snprintf(worker->domain, ZR_NAME_MAX, "%s", words[1]);
	snprintf(worker->name, ZR_NAME_MAX, "%s", words[2]);
	worker->slots = (uint32_t)atoi(words[3]);
	for (i = 4; i < count; i++) {
		snprintf(worker->services[i - 4], ZR_NAME_MAX, "%s", words[i]);
		worker->service_names[i - 4] = worker->services[i - 4];
		worker->service_count++;
	}
	LL_APPEND(run.workers, worker);
}

static void run_leaving(char **words, int count)
{
	struct zr_host host = {.kind = ZR_HOST_WORKER, .leaving = true};
	struct worker *worker;
	struct entry *entry;

	(void)count;
	FIND(run.workers, name, words[1], worker);
	worker->leaving = true;
	snprintf(host.name, sizeof(host.name), "%s", words[1]);
	LL_FOREACH(run.entries, entry)
	zr_router_set_hosts(entry->router, &host, 1);
}

static void run_entry(char **words, int count)
{
	struct zr_router_options options = ZR_ROUTER_OPTIONS_INIT;
	struct entry *entry = calloc(1, sizeof(*entry));

	(void)count;
	snprintf(entry->name, ZR_NAME_MAX, "%s", words[1]);
	snprintf(entry->domain, ZR_NAME_MAX, "%s", words[2]);
	options.clock = fake_time_clock(run.time);
	options.timers = fake_time_timers(run.time);
	options.metrics = run.metrics;
	options.entry = entry->name;
	options.domain = entry->domain;
	options.incarnation = ++run.starts;
	options.worker_client_new = fake_peers_connect;
	options.worker_client_ctx = run.peers;
	options.on_decision = on_decided;
	options.on_decision_ctx = entry;
	zr_router_new(&entry->router, &options);
	LL_PREPEND(run.entries, entry);
}

/* Its callers' connections end with it: nobody sees the answers. */
static void run_kill(char **words, int count)
{
	bool quiet = run.quiet;
	struct entry *entry;

	(void)count;
	FIND(run.entries, name, words[1], entry);
	run.quiet = true;
	zr_router_free(entry->router);
	run.quiet = quiet;
	memset(run.counts, 0, sizeof(run.counts));
	LL_DELETE(run.entries, entry);
	/* Requests still name it. */
	entry->router = NULL;
}

/* The grants' own lists, as unchanged grants are freed. */
static void give_services(zx_grant *grant, const struct worker *worker)
{
	size_t size = worker->service_count * sizeof(zx_name);

	grant->services.services_val = malloc(size + 1);
	memcpy(grant->services.services_val, worker->service_names, size);
	grant->services.services_len = worker->service_count;
}

static void answer_ask(zx_grant_result *out, struct scheduler *scheduler,
		       const zx_grant_args *args)
{
	struct worker *worker;
	zx_grant_args whole;
	uint32_t holder;
	zx_grant *grant;

	memset(out, 0, sizeof(*out));
	out->epoch = scheduler->epoch;
	out->lease_ms = ZR_GRANT_LEASE_MS;
	out->error = zr_grant_changes_expand(&whole, scheduler->changes, args);
	if (out->error)
		return;
	out->error = zr_grant_message_process(&holder, scheduler->escrow,
					      &whole, scheduler->domain);
	free(whole.held.held_val);
	if (out->error)
		return;
	out->grants.grants_val = calloc(ZX_LIST_MAX, sizeof(zx_grant));
	zr_slot_escrow_clear_capacity(scheduler->escrow);
	LL_FOREACH(run.workers, worker)
	{
		if (strcmp(worker->domain, scheduler->domain))
			continue;
		zr_slot_escrow_set_capacity(scheduler->escrow, worker->name,
					    worker->leaving ? 0
							    : worker->slots);
		grant = &out->grants.grants_val[out->grants.grants_len++];
		grant->worker = worker->name;
		grant->address = worker->name;
		give_services(grant, worker);
	}
	zr_grant_message_fill_slots(out, scheduler->escrow, holder);
	zr_grant_changes_reduce(out, scheduler->changes, args);
}

static bool ask_once(struct entry *entry, struct scheduler *scheduler,
		     bool lost)
{
	struct timespec asked = zr_clock_now(fake_time_clock(run.time));
	zx_grant_result result = {0};
	zx_grant_args args;
	bool again;
	u_int i;

	if (zr_router_build_grant_request(&args, entry->router,
					  scheduler->domain) < 0)
		stop_with("ask", "one is open");
	if (!scheduler->stopped)
		answer_ask(&result, scheduler, &args);
	again = zr_router_process_grants(
		entry->router, scheduler->domain,
		lost || scheduler->stopped ? NULL : &result, asked);
	for (i = 0; i < result.grants.grants_len; i++)
		free(result.grants.grants_val[i].services.services_val);
	free(result.grants.grants_val);
	free(result.resized.resized_val);
	zr_router_free_grant_request(&args);
	return again;
}

static void run_ask(char **words, int count)
{
	bool lost = count > 3 && !strcmp(words[3], "lost");
	struct scheduler *scheduler;
	struct entry *entry;

	FIND(run.entries, name, words[1], entry);
	FIND(run.schedulers, domain, words[2], scheduler);
	/* As entry/entry.c does. */
	if (ask_once(entry, scheduler, lost))
		ask_once(entry, scheduler, false);
}

static void read_option(struct zr_route_request *route, char *word)
{
	if (!strcmp(word, "once"))
		route->idempotent = false;
	else if (!strncmp(word, "team=", 5))
		route->team = word + 5;
	else if (!strncmp(word, "share=", 6))
		route->share = (uint32_t)atoi(word + 6);
	else if (!strncmp(word, "worth=", 6))
		route->worth = (uint32_t)atoi(word + 6);
	else
		stop_with("no such option", word);
}

static void run_send(char **words, int count)
{
	struct request *request = calloc(1, sizeof(*request));
	struct zr_route_request route = {
		.service = words[3],
		.id = words[2],
		.team = "t",
		.timeout_ms = (unsigned int)atoi(words[4]),
		.idempotent = true,
	};
	int i;

	FIND(run.entries, name, words[1], request->entry);
	snprintf(request->id, sizeof(request->id), "%s", words[2]);
	for (i = 5; i < count; i++)
		read_option(&route, words[i]);
	LL_PREPEND(run.requests, request);
	request->handle = zr_router_send(request->entry->router, &route,
					 on_done, request);
}

static void run_home(char **words, int count)
{
	(void)count;
	fake_once_set(run.homes, !strcmp(words[1], "down"),
		      !strcmp(words[1], "lossy"));
}

static void run_send_key(char **words, int count)
{
	struct request *request = calloc(1, sizeof(*request));
	struct zr_route_request route = {
		.service = words[3],
		.id = words[2],
		.team = "t",
		.body = words[3],
		.length = strlen(words[3]),
		.timeout_ms = (unsigned int)atoi(words[4]),
	};

	(void)count;
	FIND(run.entries, name, words[1], request->entry);
	snprintf(request->id, sizeof(request->id), "%s", words[2]);
	LL_PREPEND(run.requests, request);
	zr_once_send(request->entry->router, &run.once,
		     fake_time_clock(run.time), &route, words[5], on_done,
		     request);
}

static void run_cancel(char **words, int count)
{
	struct request *request;

	(void)count;
	FIND(run.requests, id, words[2], request);
	zr_router_cancel(request->entry->router, request->handle);
}

static void run_answer(char **words, int count)
{
	int status = count > 2 ? atoi(words[2]) : 200;

	if (!fake_peers_answer(run.peers, words[1], 0, status, words[1]) &&
	    !run.quiet) {
		print_time();
		printf("answer to %s comes late\n", words[1]);
	}
}

static void run_crossed(char **words, int count)
{
	(void)count;
	fake_peers_answer(run.peers, words[1], 0, 200, words[2]);
}

static void run_fail(char **words, int count)
{
	(void)count;
	fake_peers_answer(run.peers, words[1], zr_error_from_name(words[2]), 0,
			  NULL);
}

static void run_finish(char **words, int count)
{
	int tries = atoi(words[2]);
	char id[LINE_MAX_BYTES];
	const char *oldest;

	(void)count;
	while (tries-- > 0 &&
	       (oldest = fake_peers_oldest(run.peers, words[1]))) {
		snprintf(id, sizeof(id), "%s", oldest);
		fake_peers_answer(run.peers, id, 0, 200, id);
	}
}

static void run_advance(char **words, int count)
{
	(void)count;
	fake_time_advance(run.time, (unsigned int)atoi(words[1]));
}

static void run_held(char **words, int count)
{
	struct scheduler *scheduler;
	struct worker *worker;

	(void)count;
	FIND(run.workers, name, words[1], worker);
	FIND(run.schedulers, domain, worker->domain, scheduler);
	printf("held on %s: %u\n", words[1],
	       zr_slot_escrow_outstanding(scheduler->escrow, words[1]));
}

static void run_most(char **words, int count)
{
	(void)count;
	printf("most at once on %s: %u\n", words[1],
	       fake_peers_most(run.peers, words[1]));
}

static void run_runs(char **words, int count)
{
	(void)count;
	printf("runs of %s: %u\n", words[1],
	       fake_peers_runs(run.peers, words[1]));
}

static void run_quiet(char **words, int count)
{
	(void)count;
	run.quiet = !strcmp(words[1], "on");
}

static void run_count(char **words, int count)
{
	int i;

	(void)words;
	(void)count;
	for (i = 0; i < KINDS; i++) {
		if (run.counts[i])
			printf("%s: %u\n", i ? zr_error_name(-i) : "answered",
			       run.counts[i]);
	}
	if (run.ejected)
		printf("ejected: %u\n", run.ejected);
	run.ejected = 0;
	memset(run.counts, 0, sizeof(run.counts));
}

static const struct verb {
	const char *name;
	int words;
	void (*run)(char **words, int count);
} verbs[] = {
	{"scheduler", 3, run_scheduler}, {"worker", 5, run_worker},
	{"leaving", 2, run_leaving},	 {"entry", 3, run_entry},
	{"kill", 2, run_kill},		 {"ask", 3, run_ask},
	{"send", 5, run_send},		 {"home", 2, run_home},
	{"send-key", 6, run_send_key},	 {"cancel", 3, run_cancel},
	{"answer", 2, run_answer},	 {"crossed", 3, run_crossed},
	{"fail", 3, run_fail},		 {"finish", 3, run_finish},
	{"advance", 2, run_advance},	 {"held", 2, run_held},
	{"most", 2, run_most},		 {"runs", 2, run_runs},
	{"quiet", 2, run_quiet},	 {"count", 1, run_count},
};

static void run_line(char *line)
{
	char *words[WORDS_MAX];
	int count = 0;
	char *word;
	size_t i;

	for (word = strtok(line, " \t\n"); word && count < WORDS_MAX;
	     word = strtok(NULL, " \t\n"))
		words[count++] = word;
	if (!count || *words[0] == '#')
		return;
	for (i = 0; i < sizeof(verbs) / sizeof(verbs[0]); i++) {
		if (!strcmp(verbs[i].name, words[0]) &&
		    count >= verbs[i].words) {
			verbs[i].run(words, count);
			return;
		}
	}
	stop_with("no such verb, or too few words", words[0]);
}

static void free_all(void)
{
	struct scheduler *scheduler;
	struct scheduler *next_scheduler;
	struct entry *entry;

	run.quiet = true;
	LL_FOREACH(run.entries, entry)
	zr_router_free(entry->router);
	LL_FOREACH_SAFE(run.schedulers, scheduler, next_scheduler)
	{
		zr_grant_changes_free(scheduler->changes);
		zr_slot_escrow_free(scheduler->escrow);
		free(scheduler);
	}
	fake_once_free(run.homes);
	fake_peers_free(run.peers);
	fake_time_free(run.time);
	zr_metrics_free(run.metrics);
}

int main(int argc, char **argv)
{
	char line[LINE_MAX_BYTES];
	FILE *script = argc == 2 ? fopen(argv[1], "r") : NULL;

	if (!script)
		stop_with("usage", "run_route SCRIPT");
	run.time = fake_time_new();
	run.peers = fake_peers_new(run.time);
	run.homes = fake_once_new(&run.once);
	fake_peers_on_sent(run.peers, on_sent, NULL);
	zr_metrics_new(&run.metrics);
	while (fgets(line, sizeof(line), script))
		run_line(line);
	fclose(script);
	free_all();
	return 0;
}

/*
 * Runs a script against routers of entry daemons, the slot escrow of each
 * failure domain's scheduler, and fake workers that answer when the script says
 * so. An ATTEMPT is the id of a request with the number of the attempt, such as
 * r1.1. Each line is a verb and its arguments:
 *
 *   scheduler DOMAIN fresh|recover|stopped
 *                              start a new owner of the domain, without or with
 *                              recovery of earlier grants, or stop it
 *   worker DOMAIN WORKER SLOTS SERVICE...
 *                              add a worker with replicas of these services
 *   leaving WORKER             mark a worker as leaving in the host list
 *   entry ENTRY DOMAIN         start an entry daemon
 *   kill ENTRY                 kill it; the workers finish its requests
 *   request-grant ENTRY DOMAIN [lost]
 *                              send a grant request to the domain's scheduler;
 *                              lost: its response does not arrive
 *   send ENTRY ID SERVICE MS [OPTION]...
 *                              send a request that times out after MS; OPTION
 *                              is non-idempotent, team=T, share=N or worth=N
 *   send-key ENTRY ID SERVICE MS KEY
 *                              send a request with an idempotency key
 *   key-store up|down|lossy    set the state of the store of idempotency keys;
 *                              lossy: it applies writes, its answers are lost
 *   cancel ENTRY ID            close the caller's connection
 *   answer ATTEMPT [STATUS]    deliver the whole answer of a worker
 *   answer-other-id ATTEMPT OTHER
 *                              deliver an answer that bears another id
 *   fail ATTEMPT ERROR         let an attempt fail with that error
 *   answer-oldest WORKER N     deliver the answers to its N oldest attempts
 *   advance MS                 advance the fake clock
 *   outstanding WORKER         print the slots that the escrow counts as held
 *   max-concurrent WORKER      print the largest number of attempts that it
 *                              processed at once
 *   attempts ID                print the number of attempts of a request
 *   quiet on|off               stop or resume printing decisions and attempts
 *   counts                     print the numbers of answers by kind, and of
 *                              ejections, since the last counts
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
#define ERROR_CODES_MAX 32

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
	uint64_t fencing_token;
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
	struct fake_once *key_store;
	struct zr_once_backend key_backend;
	struct zr_metrics *metrics;
	struct worker *workers;
	struct scheduler *schedulers;
	struct entry *entries;
	struct request *requests;
	uint64_t incarnations;
	bool quiet;
	unsigned int counts[ERROR_CODES_MAX]; /* of answers, by -error */
	unsigned int ejections;
} runner;

static void die(const char *what, const char *word)
{
	fprintf(stderr, "%s: %s\n", what, word ? word : "");
	exit(2);
}

static void print_time(void)
{
	printf("%6lld ", (long long)fake_time_now_ms(runner.time));
}

#define FIND(list, field, word, out)                     \
	do {                                             \
		LL_FOREACH(list, out)                    \
		{                                        \
			if (!strcmp((out)->field, word)) \
				break;                   \
		}                                        \
		if (!(out))                              \
			die("no such " #list, word);     \
	} while (0)

/* Callbacks */

static void on_sent(void *ctx, const char *address,
		    const struct zr_worker_client_call *call)
{
	(void)ctx;
	if (runner.quiet)
		return;
	print_time();
	printf("%s receives %s, timeout %u ms\n", address, call->id,
	       call->timeout_ms);
}

static void on_decision(void *ctx, const struct zr_route_decision *decision)
{
	const struct entry *entry = ctx;

	if (!strcmp(decision->action, "eject"))
		runner.ejections++;
	if (runner.quiet)
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

	runner.counts[-answer->error]++;
	if (runner.quiet)
		return;
	print_time();
	printf("%s caller of %s receives ", request->entry->name, request->id);
	if (answer->error)
		printf("%s%s\n", zr_error_name(answer->error),
		       answer->retry_after_ms ? " with a retry delay" : "");
	else
		printf("%d %.*s\n", answer->status, (int)answer->length,
		       (const char *)answer->body);
}

/* Verbs */

static void do_scheduler(char **words, int count)
{
	struct scheduler *scheduler = NULL;
	bool recover = count > 2 && !strcmp(words[2], "recover");

	LL_FOREACH(runner.schedulers, scheduler)
	{
		if (!strcmp(scheduler->domain, words[1]))
			break;
	}
	if (!scheduler) {
		scheduler = calloc(1, sizeof(*scheduler));
		snprintf(scheduler->domain, ZR_NAME_MAX, "%s", words[1]);
		zr_grant_changes_new(&scheduler->changes);
		zr_slot_escrow_new(&scheduler->escrow,
				   fake_time_clock(runner.time));
		LL_APPEND(runner.schedulers, scheduler);
	}
	scheduler->stopped = !strcmp(words[2], "stopped");
	if (scheduler->stopped)
		return;
	scheduler->fencing_token++;
	zr_slot_escrow_begin_term(scheduler->escrow, recover);
	zr_grant_changes_clear(scheduler->changes);
}

static void do_worker(char **words, int count)
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
	LL_APPEND(runner.workers, worker);
}

static void do_leaving(char **words, int count)
{
	struct zr_host host = {.kind = ZR_HOST_WORKER, .leaving = true};
	struct worker *worker;
	struct entry *entry;

	(void)count;
	FIND(runner.workers, name, words[1], worker);
	worker->leaving = true;
	snprintf(host.name, sizeof(host.name), "%s", words[1]);
	LL_FOREACH(runner.entries, entry)
	zr_router_set_hosts(entry->router, &host, 1);
}

static void do_entry(char **words, int count)
{
	struct zr_router_options options = ZR_ROUTER_OPTIONS_INIT;
	struct entry *entry = calloc(1, sizeof(*entry));

	(void)count;
	snprintf(entry->name, ZR_NAME_MAX, "%s", words[1]);
	snprintf(entry->domain, ZR_NAME_MAX, "%s", words[2]);
	options.clock = fake_time_clock(runner.time);
	options.timers = fake_time_timers(runner.time);
	options.metrics = runner.metrics;
	options.entry = entry->name;
	options.domain = entry->domain;
	options.incarnation = ++runner.incarnations;
	options.worker_client_new = fake_peers_connect;
	options.worker_client_ctx = runner.peers;
	options.on_decision = on_decision;
	options.on_decision_ctx = entry;
	zr_router_new(&entry->router, &options);
	LL_PREPEND(runner.entries, entry);
}

/* The callers' connections end with it, so their answers are not printed. */
static void do_kill(char **words, int count)
{
	bool quiet = runner.quiet;
	struct entry *entry;

	(void)count;
	FIND(runner.entries, name, words[1], entry);
	runner.quiet = true;
	zr_router_free(entry->router);
	runner.quiet = quiet;
	memset(runner.counts, 0, sizeof(runner.counts));
	LL_DELETE(runner.entries, entry);
	/* Not freed, because requests still point to it. */
	entry->router = NULL;
}

/* Copies the list of services, because each grant frees its own. */
static void copy_services(zx_grant *grant, const struct worker *worker)
{
	size_t size = worker->service_count * sizeof(zx_name);

	grant->services.services_val = malloc(size + 1);
	memcpy(grant->services.services_val, worker->service_names, size);
	grant->services.services_len = worker->service_count;
}

static void process_grant_request(zx_grant_result *out,
				  struct scheduler *scheduler,
				  const zx_grant_args *args)
{
	struct worker *worker;
	zx_grant_args expanded;
	uint32_t holder;
	zx_grant *grant;

	memset(out, 0, sizeof(*out));
	out->epoch = scheduler->fencing_token;
	out->lease_ms = ZR_GRANT_LEASE_MS;
	out->error =
		zr_grant_changes_expand(&expanded, scheduler->changes, args);
	if (out->error)
		return;
	out->error = zr_grant_message_process(&holder, scheduler->escrow,
					      &expanded, scheduler->domain);
	free(expanded.held.held_val);
	if (out->error)
		return;
	out->grants.grants_val = calloc(ZX_LIST_MAX, sizeof(zx_grant));
	zr_slot_escrow_clear_capacity(scheduler->escrow);
	LL_FOREACH(runner.workers, worker)
	{
		if (strcmp(worker->domain, scheduler->domain))
			continue;
		zr_slot_escrow_set_capacity(scheduler->escrow, worker->name,
					    worker->leaving ? 0
							    : worker->slots);
		grant = &out->grants.grants_val[out->grants.grants_len++];
		grant->worker = worker->name;
		grant->address = worker->name;
		copy_services(grant, worker);
	}
	zr_grant_message_fill_slots(out, scheduler->escrow, holder);
	zr_grant_changes_reduce(out, scheduler->changes, args);
}

static bool send_grant_request(struct entry *entry, struct scheduler *scheduler,
			       bool lost)
{
	struct timespec sent_at = zr_clock_now(fake_time_clock(runner.time));
	zx_grant_result result = {0};
	zx_grant_args args;
	bool must_repeat;
	u_int i;

	if (zr_router_build_grant_request(&args, entry->router,
					  scheduler->domain) < 0)
		die("request-grant", "a request is already open");
	if (!scheduler->stopped)
		process_grant_request(&result, scheduler, &args);
	must_repeat = zr_router_process_grants(
		entry->router, scheduler->domain,
		lost || scheduler->stopped ? NULL : &result, sent_at);
	for (i = 0; i < result.grants.grants_len; i++)
		free(result.grants.grants_val[i].services.services_val);
	free(result.grants.grants_val);
	free(result.resized.resized_val);
	zr_router_free_grant_request(&args);
	return must_repeat;
}

static void do_request_grant(char **words, int count)
{
	bool lost = count > 3 && !strcmp(words[3], "lost");
	struct scheduler *scheduler;
	struct entry *entry;

	FIND(runner.entries, name, words[1], entry);
	FIND(runner.schedulers, domain, words[2], scheduler);
	/* Repeats the request if necessary, like entry/entry.c. */
	if (send_grant_request(entry, scheduler, lost))
		send_grant_request(entry, scheduler, false);
}

static void parse_option(struct zr_route_request *route, char *word)
{
	if (!strcmp(word, "non-idempotent"))
		route->idempotent = false;
	else if (!strncmp(word, "team=", 5))
		route->team = word + 5;
	else if (!strncmp(word, "share=", 6))
		route->share = (uint32_t)atoi(word + 6);
	else if (!strncmp(word, "worth=", 6))
		route->worth = (uint32_t)atoi(word + 6);
	else
		die("no such option", word);
}

static void do_send(char **words, int count)
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

	FIND(runner.entries, name, words[1], request->entry);
	snprintf(request->id, sizeof(request->id), "%s", words[2]);
	for (i = 5; i < count; i++)
		parse_option(&route, words[i]);
	LL_PREPEND(runner.requests, request);
	request->handle = zr_router_send(request->entry->router, &route,
					 on_done, request);
}

static void do_key_store(char **words, int count)
{
	(void)count;
	fake_once_set_failure(runner.key_store, !strcmp(words[1], "down"),
			      !strcmp(words[1], "lossy"));
}

static void do_send_key(char **words, int count)
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
	FIND(runner.entries, name, words[1], request->entry);
	snprintf(request->id, sizeof(request->id), "%s", words[2]);
	LL_PREPEND(runner.requests, request);
	zr_once_send(request->entry->router, &runner.key_backend,
		     fake_time_clock(runner.time), &route, words[5], on_done,
		     request);
}

static void do_cancel(char **words, int count)
{
	struct request *request;

	(void)count;
	FIND(runner.requests, id, words[2], request);
	zr_router_cancel(request->entry->router, request->handle);
}

static void do_answer(char **words, int count)
{
	int status = count > 2 ? atoi(words[2]) : 200;

	if (!fake_peers_answer(runner.peers, words[1], 0, status, words[1]) &&
	    !runner.quiet) {
		print_time();
		printf("answer to %s has no open attempt\n", words[1]);
	}
}

static void do_answer_other_id(char **words, int count)
{
	(void)count;
	fake_peers_answer(runner.peers, words[1], 0, 200, words[2]);
}

static void do_fail(char **words, int count)
{
	(void)count;
	fake_peers_answer(runner.peers, words[1], zr_error_from_name(words[2]),
			  0, NULL);
}

static void do_answer_oldest(char **words, int count)
{
	int attempts = atoi(words[2]);
	char id[LINE_MAX_BYTES];
	const char *oldest;

	(void)count;
	while (attempts-- > 0 &&
	       (oldest = fake_peers_oldest_attempt(runner.peers, words[1]))) {
		snprintf(id, sizeof(id), "%s", oldest);
		fake_peers_answer(runner.peers, id, 0, 200, id);
	}
}

static void do_advance(char **words, int count)
{
	(void)count;
	fake_time_advance(runner.time, (unsigned int)atoi(words[1]));
}

static void do_outstanding(char **words, int count)
{
	struct scheduler *scheduler;
	struct worker *worker;

	(void)count;
	FIND(runner.workers, name, words[1], worker);
	FIND(runner.schedulers, domain, worker->domain, scheduler);
	printf("outstanding on %s: %u\n", words[1],
	       zr_slot_escrow_outstanding(scheduler->escrow, words[1]));
}

static void do_max_concurrent(char **words, int count)
{
	(void)count;
	printf("max. concurrent on %s: %u\n", words[1],
	       fake_peers_max_attempts(runner.peers, words[1]));
}

static void do_attempts(char **words, int count)
{
	(void)count;
	printf("attempts of %s: %u\n", words[1],
	       fake_peers_count_attempts(runner.peers, words[1]));
}

static void do_quiet(char **words, int count)
{
	(void)count;
	runner.quiet = !strcmp(words[1], "on");
}

static void do_counts(char **words, int count)
{
	int i;

	(void)words;
	(void)count;
	for (i = 0; i < ERROR_CODES_MAX; i++) {
		if (runner.counts[i])
			printf("%s: %u\n", i ? zr_error_name(-i) : "answered",
			       runner.counts[i]);
	}
	if (runner.ejections)
		printf("ejections: %u\n", runner.ejections);
	runner.ejections = 0;
	memset(runner.counts, 0, sizeof(runner.counts));
}

static const struct verb {
	const char *name;
	int words_min;
	void (*run)(char **words, int count);
} verbs[] = {
	{"scheduler", 3, do_scheduler},
	{"worker", 5, do_worker},
	{"leaving", 2, do_leaving},
	{"entry", 3, do_entry},
	{"kill", 2, do_kill},
	{"request-grant", 3, do_request_grant},
	{"send", 5, do_send},
	{"key-store", 2, do_key_store},
	{"send-key", 6, do_send_key},
	{"cancel", 3, do_cancel},
	{"answer", 2, do_answer},
	{"answer-other-id", 3, do_answer_other_id},
	{"fail", 3, do_fail},
	{"answer-oldest", 3, do_answer_oldest},
	{"advance", 2, do_advance},
	{"outstanding", 2, do_outstanding},
	{"max-concurrent", 2, do_max_concurrent},
	{"attempts", 2, do_attempts},
	{"quiet", 2, do_quiet},
	{"counts", 1, do_counts},
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
		    count >= verbs[i].words_min) {
			verbs[i].run(words, count);
			return;
		}
	}
	die("unknown verb or too few arguments", words[0]);
}

static void runner_clear(void)
{
	struct scheduler *scheduler;
	struct scheduler *next_scheduler;
	struct entry *entry;

	runner.quiet = true;
	LL_FOREACH(runner.entries, entry)
	zr_router_free(entry->router);
	LL_FOREACH_SAFE(runner.schedulers, scheduler, next_scheduler)
	{
		zr_grant_changes_free(scheduler->changes);
		zr_slot_escrow_free(scheduler->escrow);
		free(scheduler);
	}
	fake_once_free(runner.key_store);
	fake_peers_free(runner.peers);
	fake_time_free(runner.time);
	zr_metrics_free(runner.metrics);
}

int main(int argc, char **argv)
{
	char line[LINE_MAX_BYTES];
	FILE *script = argc == 2 ? fopen(argv[1], "r") : NULL;

	if (!script)
		die("usage", "run_route SCRIPT");
	runner.time = fake_time_new();
	runner.peers = fake_peers_new(runner.time);
	runner.key_store = fake_once_new(&runner.key_backend);
	fake_peers_on_sent(runner.peers, on_sent, NULL);
	zr_metrics_new(&runner.metrics);
	while (fgets(line, sizeof(line), script))
		run_line(line);
	fclose(script);
	runner_clear();
	return 0;
}

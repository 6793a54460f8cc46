/*
 * Runs a script against the configuration in force of several processes, which
 * share a store and exchange status each 500 ms. Verbs, one a line:
 *
 * node NAME DOMAIN [scheduler]  a process starts; an entry daemon by default
 * leave NAME                    it begins a planned stop
 * kill NAME                     it ends
 * hosts NAME...                 what the host list names, read each 500 ms
 * hostlist up|down              whether it can be read
 * cut A B | heal A B            between processes, or a process and "store"
 * slow NAME | fast NAME         the store's answers to a process are held
 * lose NAME COUNT               answers to its next writes are lost
 * late NAME | ontime NAME       what it tells peers arrives only on "ontime"
 * propose NAME EXPECTED TEAM [accept]   a document with one team
 * tick MS                       the clock moves
 * show                          version and age in each process
 * keys NAME                     whether it trusts keys
 * reads                         reads of the store since last asked
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/watch.h"
#include "fakes/fake_config_store.h"
#include "zinniarack/errors.h"

#define NODES_MAX 24
#define LINE_MAX_BYTES 256
#define WORDS_MAX 16
#define EXCHANGE_MS 500
#define HOST_LIST_MS 500

struct node {
	struct run *run;
	char name[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	bool entry;
	struct zr_metrics *metrics;
	struct zr_store store;
	struct zr_config_watch *watch;
	char cut[NODES_MAX][ZR_NAME_MAX];
	bool late;
	char *late_text;
	struct zr_config_peer_status late_status;
};

struct run {
	struct fake_time *time;
	struct fake_config_store *store;
	struct zr_timer *exchange;
	struct zr_timer *host_list;
	struct node nodes[NODES_MAX];
	struct zr_host hosts[NODES_MAX];
	size_t host_count;
	bool hosts_down;
};

static struct node *find(struct run *run, const char *name)
{
	size_t i;

	for (i = 0; i < NODES_MAX; i++) {
		if (!strcmp(run->nodes[i].name, name))
			return &run->nodes[i];
	}
	printf("no node %s\n", name);
	exit(2);
}

static bool is_cut(const struct node *a, const struct node *b)
{
	size_t i;

	for (i = 0; i < NODES_MAX; i++) {
		if (!strcmp(a->cut[i], b->name) || !strcmp(b->cut[i], a->name))
			return true;
	}
	return false;
}

/* Exchanges */

static void keep_late(struct node *from,
		      const struct zr_config_peer_status *status)
{
	if (!status->text || from->late_text)
		return;
	from->late_status = *status;
	from->late_text = malloc(status->length);
	memcpy(from->late_text, status->text, status->length);
	from->late_status.text = from->late_text;
}

static void exchange(struct node *from, struct node *to)
{
	struct timespec now = zr_clock_now(fake_time_clock(from->run->time));
	struct zr_config_peer_status status;
	uint64_t version;

	if (!to->watch || !to->entry || from == to || is_cut(from, to))
		return;
	zr_config_watch_fill_status(&status, to->watch, 0);
	version = status.version;
	zr_config_watch_fill_status(&status, from->watch, version);
	if (from->late)
		keep_late(from, &status);
	else
		zr_config_watch_process_request(to->watch, &status);
	version = status.version;
	zr_config_watch_fill_status(&status, to->watch, version);
	zr_config_watch_process_response(from->watch, &status, to->name, now);
}

static void exchange_with_all(struct node *from)
{
	size_t i;

	for (i = 0; i < NODES_MAX; i++)
		exchange(from, &from->run->nodes[i]);
}

static void on_exchange(void *ctx)
{
	struct run *run = ctx;
	size_t i;

	for (i = 0; i < NODES_MAX; i++) {
		if (run->nodes[i].watch)
			exchange_with_all(&run->nodes[i]);
	}
}

static void on_notify_peers(void *ctx)
{
	exchange_with_all(ctx);
}

static void on_host_list(void *ctx)
{
	struct run *run = ctx;
	struct timespec now = zr_clock_now(fake_time_clock(run->time));
	size_t i;

	for (i = 0; !run->hosts_down && i < NODES_MAX; i++) {
		if (run->nodes[i].watch)
			zr_config_watch_set_hosts(run->nodes[i].watch,
						  run->hosts, run->host_count,
						  now);
	}
}

/* Verbs */

static void on_changed(void *ctx, const struct zr_config *config)
{
	struct node *node = ctx;

	printf("%" PRId64 " %s has version %" PRIu64 " by %s\n",
	       fake_time_now_ms(node->run->time), node->name, config->version,
	       zr_config_author(config));
}

static void start_node(struct run *run, char **words)
{
	struct zr_config_watch_options options = {
		.version = ZR_CONFIG_WATCH_OPTIONS_VERSION,
		.timers = fake_time_timers(run->time),
		.clock = fake_time_clock(run->time),
		.changed = on_changed,
		.notify_peers = on_notify_peers,
	};
	struct node *node = run->nodes;

	while (node->watch)
		node++;
	memset(node, 0, sizeof(*node));
	node->run = run;
	snprintf(node->name, sizeof(node->name), "%s", words[1]);
	snprintf(node->domain, sizeof(node->domain), "%s", words[2]);
	node->entry = !*words[3];
	fake_config_store_client(&node->store, run->store, node->name);
	zr_metrics_new(&node->metrics);
	options.store = &node->store;
	options.metrics = node->metrics;
	options.name = node->name;
	options.domain = node->domain;
	options.address = node->entry ? node->name : NULL;
	options.ctx = node;
	if (zr_config_watch_new(&node->watch, &options) < 0)
		exit(2);
}

static void kill_node(struct node *node)
{
	zr_config_watch_free(node->watch);
	zr_metrics_free(node->metrics);
	free(node->late_text);
	node->late_text = NULL;
	node->watch = NULL;
	node->name[0] = '\0';
}

static void set_hosts(struct run *run, char **words)
{
	run->host_count = 0;
	for (words++; **words; words++) {
		struct zr_host *host = &run->hosts[run->host_count++];
		const struct node *node = find(run, *words);

		memset(host, 0, sizeof(*host));
		host->kind = ZR_HOST_ENTRY;
		memcpy(host->name, node->name, sizeof(host->name));
		memcpy(host->address, node->name, sizeof(host->address));
		memcpy(host->domain, node->domain, sizeof(host->domain));
	}
	on_host_list(run);
}

static void cut(struct run *run, const char *a, const char *b, bool on)
{
	struct node *node = find(run, a);
	size_t i;

	if (!strcmp(b, "store")) {
		fake_config_store_cut(run->store, a, on);
		return;
	}
	for (i = 0; i < NODES_MAX; i++) {
		if (!strcmp(node->cut[i], on ? "" : b)) {
			snprintf(node->cut[i], ZR_NAME_MAX, "%s", on ? b : "");
			return;
		}
	}
}

static void on_proposed(void *ctx, int error, uint64_t version)
{
	struct node *node = ctx;

	printf("%" PRId64 " %s proposal: %s version %" PRIu64 "\n",
	       fake_time_now_ms(node->run->time), node->name,
	       error ? zr_error_name(error) : "accepted", version);
}

static void propose(struct node *node, char **words)
{
	char text[LINE_MAX_BYTES];
	struct zr_config *config;
	int length = snprintf(text, sizeof(text),
			      "key_check:\n  when_unconfirmed: %s\n"
			      "teams:\n  - name: %s\n    share: 1\n",
			      *words[4] ? words[4] : "refuse", words[3]);
	int error;

	if (zr_config_parse(&config, "script", text, (size_t)length) < 0)
		exit(2);
	error = zr_config_watch_propose(node->watch, config,
					strtoull(words[2], NULL, 10), words[3],
					on_proposed, node);
	if (error < 0)
		on_proposed(
			node, error,
			zr_config_watch_current(node->watch)
				? zr_config_watch_current(node->watch)->version
				: 0);
	zr_config_free(config);
}

static void deliver_late(struct run *run, struct node *from)
{
	size_t i;

	from->late = false;
	for (i = 0; from->late_text && i < NODES_MAX; i++) {
		if (run->nodes[i].watch && &run->nodes[i] != from)
			zr_config_watch_process_request(run->nodes[i].watch,
							&from->late_status);
	}
}

static void show(const struct run *run)
{
	size_t i;

	for (i = 0; i < NODES_MAX; i++) {
		const struct node *node = &run->nodes[i];
		const struct zr_config *config;

		if (!node->watch)
			continue;
		config = zr_config_watch_current(node->watch);
		printf("  %s version %" PRIu64 " age %" PRId64 "\n", node->name,
		       config ? config->version : 0,
		       zr_config_watch_age_ms(node->watch));
	}
}

static void show_keys(const struct node *node)
{
	int error = zr_config_watch_check_keys(node->watch);

	printf("  %s %s\n", node->name,
	       error ? zr_error_name(error) : "trusts keys");
}

static bool step_network(struct run *run, char **words)
{
	const char *verb = words[0];

	if (!strcmp(verb, "hosts"))
		set_hosts(run, words);
	else if (!strcmp(verb, "hostlist"))
		run->hosts_down = !strcmp(words[1], "down");
	else if (!strcmp(verb, "cut") || !strcmp(verb, "heal"))
		cut(run, words[1], words[2], !strcmp(verb, "cut"));
	else if (!strcmp(verb, "slow") || !strcmp(verb, "fast"))
		fake_config_store_hold(run->store, words[1],
				       !strcmp(verb, "slow"));
	else if (!strcmp(verb, "lose"))
		fake_config_store_lose(
			run->store, words[1],
			(unsigned int)strtoul(words[2], NULL, 10));
	else if (!strcmp(verb, "late"))
		find(run, words[1])->late = true;
	else if (!strcmp(verb, "ontime"))
		deliver_late(run, find(run, words[1]));
	else
		return false;
	return true;
}

static void step(struct run *run, char **words)
{
	const char *verb = words[0];

	if (step_network(run, words))
		return;
	if (!strcmp(verb, "node"))
		start_node(run, words);
	else if (!strcmp(verb, "leave"))
		zr_config_watch_leave(find(run, words[1])->watch);
	else if (!strcmp(verb, "kill"))
		kill_node(find(run, words[1]));
	else if (!strcmp(verb, "propose"))
		propose(find(run, words[1]), words);
	else if (!strcmp(verb, "tick"))
		fake_time_advance(run->time,
				  (unsigned int)strtoul(words[1], NULL, 10));
	else if (!strcmp(verb, "show"))
		show(run);
	else if (!strcmp(verb, "keys"))
		show_keys(find(run, words[1]));
	else if (!strcmp(verb, "reads"))
		printf("  %u reads\n", fake_config_store_reads(run->store));
	else
		exit(2);
}

static void read_line(struct run *run, char *line)
{
	char none[] = "";
	char *words[WORDS_MAX];
	char *rest = NULL;
	char *word;
	size_t count;

	if (*line == '#' || *line == '\n')
		return;
	printf("> %s", line);
	for (count = 0; count < WORDS_MAX; count++)
		words[count] = none;
	count = 0;
	for (word = strtok_r(line, " \n", &rest); word && count < WORDS_MAX - 1;
	     word = strtok_r(NULL, " \n", &rest))
		words[count++] = word;
	step(run, words);
}

int main(int argc, char **argv)
{
	static struct run run;
	char line[LINE_MAX_BYTES];
	FILE *script = argc == 2 ? fopen(argv[1], "r") : NULL;
	size_t i;

	if (!script)
		return 2;
	run.time = fake_time_new();
	run.store = fake_config_store_new(run.time);
	run.exchange =
		zr_timer_new(fake_time_timers(run.time), on_exchange, &run);
	zr_timer_start(run.exchange, EXCHANGE_MS, EXCHANGE_MS);
	run.host_list =
		zr_timer_new(fake_time_timers(run.time), on_host_list, &run);
	zr_timer_start(run.host_list, HOST_LIST_MS, HOST_LIST_MS);
	while (fgets(line, sizeof(line), script))
		read_line(&run, line);
	fclose(script);
	for (i = 0; i < NODES_MAX; i++) {
		if (run.nodes[i].watch)
			kill_node(&run.nodes[i]);
	}
	fake_config_store_free(run.store);
	zr_timer_free(run.exchange);
	zr_timer_free(run.host_list);
	fake_time_free(run.time);
	return 0;
}

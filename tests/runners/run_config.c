/*
 * Runs a script against the configuration watches of several processes, which
 * share a fake store and exchange their status every 500 ms. Each line is a
 * verb and its arguments:
 *
 *   node NAME DOMAIN [scheduler]
 *                              start a process, by default an entry daemon
 *   leave NAME                 begin its planned shutdown
 *   kill NAME                  kill it
 *   hosts NAME...              set the host list, which all read every 500 ms
 *   host-list up|down          set whether the host list can be read
 *   disconnect A B, reconnect A B
 *                              break and restore the connection between two
 *                              processes, or between a process and "store"
 *   hold-store NAME, release-store NAME
 *                              hold and deliver the store's answers to it
 *   lose-answers NAME COUNT    lose the answers to its next COUNT commits
 *   hold-status NAME, release-status NAME
 *                              hold the status that it sends to its peers, and
 *                              deliver the first that has a configuration
 *   propose NAME EXPECTED TEAM [accept]
 *                              propose a configuration with one team, based on
 *                              version EXPECTED; accept: keys stay accepted
 *                              while they cannot be confirmed
 *   advance MS                 advance the fake clock
 *   show                       print the applied version of each process, and
 *                              the time in ms since it was last confirmed
 *   check-keys NAME            print whether a process accepts API keys
 *   store-reads                print the number of reads of the store since the
 *                              last store-reads
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
#define EXCHANGE_INTERVAL_MS 500
#define HOST_LIST_INTERVAL_MS 500

struct node {
	struct runner *runner;
	char name[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	bool is_entry;
	struct zr_metrics *metrics;
	struct zr_store store;
	struct zr_config_watch *watch;
	char disconnected[NODES_MAX][ZR_NAME_MAX];
	bool is_status_held;
	char *held_text;
	struct zr_config_peer_status held_status;
};

struct runner {
	struct fake_time *time;
	struct fake_config_store *store;
	struct zr_timer *exchange_timer;
	struct zr_timer *host_list_timer;
	struct node nodes[NODES_MAX];
	struct zr_host hosts[NODES_MAX];
	size_t host_count;
	bool host_list_down;
};

static struct node *find_node(struct runner *runner, const char *name)
{
	size_t i;

	for (i = 0; i < NODES_MAX; i++) {
		if (!strcmp(runner->nodes[i].name, name))
			return &runner->nodes[i];
	}
	printf("run_config: no node %s\n", name);
	exit(2);
}

static bool is_disconnected(const struct node *a, const struct node *b)
{
	size_t i;

	for (i = 0; i < NODES_MAX; i++) {
		if (!strcmp(a->disconnected[i], b->name) ||
		    !strcmp(b->disconnected[i], a->name))
			return true;
	}
	return false;
}

/* Status exchange */

static void hold_status(struct node *from,
			const struct zr_config_peer_status *status)
{
	if (!status->text || from->held_text)
		return;
	from->held_status = *status;
	from->held_text = malloc(status->length);
	memcpy(from->held_text, status->text, status->length);
	from->held_status.text = from->held_text;
}

static void exchange_status(struct node *from, struct node *to)
{
	struct timespec now = zr_clock_now(fake_time_clock(from->runner->time));
	struct zr_config_peer_status status;
	uint64_t version;

	if (!to->watch || !to->is_entry || from == to ||
	    is_disconnected(from, to))
		return;
	zr_config_watch_fill_status(&status, to->watch, 0);
	version = status.version;
	zr_config_watch_fill_status(&status, from->watch, version);
	if (from->is_status_held)
		hold_status(from, &status);
	else
		zr_config_watch_process_request(to->watch, &status);
	version = status.version;
	zr_config_watch_fill_status(&status, to->watch, version);
	zr_config_watch_process_response(from->watch, &status, to->name, now);
}

static void exchange_status_with_all(struct node *from)
{
	size_t i;

	for (i = 0; i < NODES_MAX; i++)
		exchange_status(from, &from->runner->nodes[i]);
}

static void on_exchange(void *ctx)
{
	struct runner *runner = ctx;
	size_t i;

	for (i = 0; i < NODES_MAX; i++) {
		if (runner->nodes[i].watch)
			exchange_status_with_all(&runner->nodes[i]);
	}
}

static void on_notify_peers(void *ctx)
{
	exchange_status_with_all(ctx);
}

static void on_host_list(void *ctx)
{
	struct runner *runner = ctx;
	struct timespec now = zr_clock_now(fake_time_clock(runner->time));
	size_t i;

	for (i = 0; !runner->host_list_down && i < NODES_MAX; i++) {
		if (runner->nodes[i].watch)
			zr_config_watch_set_hosts(runner->nodes[i].watch,
						  runner->hosts,
						  runner->host_count, now);
	}
}

/* Verbs */

static void on_changed(void *ctx, const struct zr_config *config)
{
	struct node *node = ctx;

	printf("%" PRId64 " %s applied version %" PRIu64 " by %s\n",
	       fake_time_now_ms(node->runner->time), node->name,
	       config->version, zr_config_author(config));
}

static void start_node(struct runner *runner, char **words)
{
	struct zr_config_watch_options options = {
		.version = ZR_CONFIG_WATCH_OPTIONS_VERSION,
		.timers = fake_time_timers(runner->time),
		.clock = fake_time_clock(runner->time),
		.changed = on_changed,
		.notify_peers = on_notify_peers,
	};
	struct node *node = runner->nodes;

	while (node->watch)
		node++;
	memset(node, 0, sizeof(*node));
	node->runner = runner;
	snprintf(node->name, sizeof(node->name), "%s", words[1]);
	snprintf(node->domain, sizeof(node->domain), "%s", words[2]);
	node->is_entry = !*words[3];
	fake_config_store_client(&node->store, runner->store, node->name);
	zr_metrics_new(&node->metrics);
	options.store = &node->store;
	options.metrics = node->metrics;
	options.name = node->name;
	options.domain = node->domain;
	options.address = node->is_entry ? node->name : NULL;
	options.ctx = node;
	if (zr_config_watch_new(&node->watch, &options) < 0)
		exit(2);
}

static void kill_node(struct node *node)
{
	zr_config_watch_free(node->watch);
	zr_metrics_free(node->metrics);
	free(node->held_text);
	node->held_text = NULL;
	node->watch = NULL;
	node->name[0] = '\0';
}

static void set_hosts(struct runner *runner, char **words)
{
	runner->host_count = 0;
	for (words++; **words; words++) {
		struct zr_host *host = &runner->hosts[runner->host_count++];
		const struct node *node = find_node(runner, *words);

		memset(host, 0, sizeof(*host));
		host->kind = ZR_HOST_ENTRY;
		memcpy(host->name, node->name, sizeof(host->name));
		memcpy(host->address, node->name, sizeof(host->address));
		memcpy(host->domain, node->domain, sizeof(host->domain));
	}
	on_host_list(runner);
}

static void set_connection(struct runner *runner, const char *a, const char *b,
			   bool disconnect)
{
	struct node *node = find_node(runner, a);
	size_t i;

	if (!strcmp(b, "store")) {
		fake_config_store_set_disconnected(runner->store, a,
						   disconnect);
		return;
	}
	for (i = 0; i < NODES_MAX; i++) {
		if (!strcmp(node->disconnected[i], disconnect ? "" : b)) {
			snprintf(node->disconnected[i], ZR_NAME_MAX, "%s",
				 disconnect ? b : "");
			return;
		}
	}
}

static void on_proposed(void *ctx, int error, uint64_t version)
{
	struct node *node = ctx;

	printf("%" PRId64 " %s proposal: %s version %" PRIu64 "\n",
	       fake_time_now_ms(node->runner->time), node->name,
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

static void release_status(struct runner *runner, struct node *from)
{
	size_t i;

	from->is_status_held = false;
	for (i = 0; from->held_text && i < NODES_MAX; i++) {
		if (runner->nodes[i].watch && &runner->nodes[i] != from)
			zr_config_watch_process_request(runner->nodes[i].watch,
							&from->held_status);
	}
}

static void print_versions(const struct runner *runner)
{
	size_t i;

	for (i = 0; i < NODES_MAX; i++) {
		const struct node *node = &runner->nodes[i];
		const struct zr_config *config;

		if (!node->watch)
			continue;
		config = zr_config_watch_current(node->watch);
		printf("  %s version %" PRIu64 " age %" PRId64 "\n", node->name,
		       config ? config->version : 0,
		       zr_config_watch_age_ms(node->watch));
	}
}

static void print_key_check(const struct node *node)
{
	int error = zr_config_watch_check_keys(node->watch);

	printf("  %s %s\n", node->name,
	       error ? zr_error_name(error) : "accepts keys");
}

static bool run_network_verb(struct runner *runner, char **words)
{
	const char *verb = words[0];

	if (!strcmp(verb, "hosts"))
		set_hosts(runner, words);
	else if (!strcmp(verb, "host-list"))
		runner->host_list_down = !strcmp(words[1], "down");
	else if (!strcmp(verb, "disconnect") || !strcmp(verb, "reconnect"))
		set_connection(runner, words[1], words[2],
			       !strcmp(verb, "disconnect"));
	else if (!strcmp(verb, "hold-store") || !strcmp(verb, "release-store"))
		fake_config_store_hold_replies(runner->store, words[1],
					       !strcmp(verb, "hold-store"));
	else if (!strcmp(verb, "lose-answers"))
		fake_config_store_lose_replies(
			runner->store, words[1],
			(unsigned int)strtoul(words[2], NULL, 10));
	else if (!strcmp(verb, "hold-status"))
		find_node(runner, words[1])->is_status_held = true;
	else if (!strcmp(verb, "release-status"))
		release_status(runner, find_node(runner, words[1]));
	else
		return false;
	return true;
}

static void run_verb(struct runner *runner, char **words)
{
	const char *verb = words[0];

	if (run_network_verb(runner, words))
		return;
	if (!strcmp(verb, "node"))
		start_node(runner, words);
	else if (!strcmp(verb, "leave"))
		zr_config_watch_leave(find_node(runner, words[1])->watch);
	else if (!strcmp(verb, "kill"))
		kill_node(find_node(runner, words[1]));
	else if (!strcmp(verb, "propose"))
		propose(find_node(runner, words[1]), words);
	else if (!strcmp(verb, "advance"))
		fake_time_advance(runner->time,
				  (unsigned int)strtoul(words[1], NULL, 10));
	else if (!strcmp(verb, "show"))
		print_versions(runner);
	else if (!strcmp(verb, "check-keys"))
		print_key_check(find_node(runner, words[1]));
	else if (!strcmp(verb, "store-reads"))
		printf("  %u reads\n",
		       fake_config_store_take_read_count(runner->store));
	else
		exit(2);
}

static void run_line(struct runner *runner, char *line)
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
	run_verb(runner, words);
}

int main(int argc, char **argv)
{
	static struct runner runner;
	char line[LINE_MAX_BYTES];
	FILE *script = argc == 2 ? fopen(argv[1], "r") : NULL;
	size_t i;

	if (!script)
		return 2;
	runner.time = fake_time_new();
	runner.store = fake_config_store_new(runner.time);
	runner.exchange_timer = zr_timer_new(fake_time_timers(runner.time),
					     on_exchange, &runner);
	zr_timer_start(runner.exchange_timer, EXCHANGE_INTERVAL_MS,
		       EXCHANGE_INTERVAL_MS);
	runner.host_list_timer = zr_timer_new(fake_time_timers(runner.time),
					      on_host_list, &runner);
	zr_timer_start(runner.host_list_timer, HOST_LIST_INTERVAL_MS,
		       HOST_LIST_INTERVAL_MS);
	while (fgets(line, sizeof(line), script))
		run_line(&runner, line);
	fclose(script);
	for (i = 0; i < NODES_MAX; i++) {
		if (runner.nodes[i].watch)
			kill_node(&runner.nodes[i]);
	}
	fake_config_store_free(runner.store);
	zr_timer_free(runner.exchange_timer);
	zr_timer_free(runner.host_list_timer);
	fake_time_free(runner.time);
	return 0;
}

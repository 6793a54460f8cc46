/*
 * Runs a script against hosts that reach a fake store directly or through each
 * other. Each line is a verb and its arguments:
 *
 *   host NAME            start a host
 *   read HOST KEY        read a key
 *   create HOST KEY      write a key on the condition that it does not exist
 *   grant HOST MS        request a lease
 *   renew HOST           renew the last lease
 *   watch HOST KEY MS    wait for a change of a key
 *   load HOST COUNT MS   read COUNT keys, one every MS
 *   check HOST COUNT MS  compare the revision of a key COUNT times, one every
 *                        MS, and write nothing
 *   advance MS           advance the fake clock
 *   link FROM TO pass|hold|drop|refuse
 *                        set what happens to messages; `*` is any node
 *   release FROM TO      deliver the held messages
 *   garble HOST          let the replies of a host to others be unreadable
 *   pause NODE, resume NODE
 *                        suspend and continue a process
 *   store                print how many calls the store has served
 *
 * Nodes are the hosts and "store".
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/relay.h"
#include "fakes/fake_store.h"
#include "zinniarack/errors.h"

#define LINE_MAX_BYTES 256
#define WORDS_MAX 6
#define HOSTS_MAX 4

struct host {
	struct script *script;
	struct fake_node *node;
	struct zr_store direct;
	struct zr_store store; /* with the relay */
	struct zr_store_health *health;
	struct zr_cell_relay *relay;
	struct zr_metrics *metrics;
	bool garbled; /* its replies cannot be decoded */
};

struct script {
	struct fake_net *net;
	struct fake_store *store;
	struct host hosts[HOSTS_MAX];
	size_t host_count;
	int64_t lease;
	char *words[WORDS_MAX];
	int word_count;
};

static const char *word(const struct script *script, int index)
{
	return index < script->word_count ? script->words[index] : "";
}

static long number(const struct script *script, int index)
{
	return strtol(word(script, index), NULL, 10);
}

static struct host *find_host(struct script *script, const char *name)
{
	size_t i;

	for (i = 0; i < script->host_count; i++) {
		if (!strcmp(fake_node_name(script->hosts[i].node), name))
			return &script->hosts[i];
	}
	fprintf(stderr, "run_relay: no host '%s'\n", name);
	exit(2);
}

/* Calls between hosts, whose arguments and results pass through the codecs */

struct remote_call {
	struct host *server;
	struct fake_call *net_call;
	char *args;
	u_int args_length;
	char *result;
	u_int result_length;
	zr_cell_relay_done_fn done;
	void *ctx;
};

static char *encode(u_int *out_length, xdrproc_t codec, const void *data)
{
	char *bytes;
	XDR xdrs;

	*out_length = (u_int)xdr_sizeof(codec, (void *)data);
	bytes = calloc(1, *out_length + 1);
	xdrmem_create(&xdrs, bytes, *out_length, XDR_ENCODE);
	if (!codec(&xdrs, (void *)data))
		abort();
	return bytes;
}

static void decode(void *out, xdrproc_t codec, char *bytes, u_int length)
{
	XDR xdrs;

	xdrmem_create(&xdrs, bytes, length, XDR_DECODE);
	if (!codec(&xdrs, out))
		abort();
}

static void on_remote_done(void *ctx, int error,
			   const zx_cell_store_result *result)
{
	struct remote_call *call = ctx;

	(void)error;
	call->result = encode(&call->result_length,
			      (xdrproc_t)xdr_zx_cell_store_result, result);
	fake_call_reply(call->net_call);
	fake_call_unref(call->net_call);
}

static void serve_remote(struct fake_call *net_call, void *ctx)
{
	struct remote_call *call = ctx;
	zx_cell_store_args args = {0};

	call->net_call = net_call;
	fake_call_ref(net_call);
	decode(&args, (xdrproc_t)xdr_zx_cell_store_args, call->args,
	       call->args_length);
	zr_cell_relay_serve(call->server->relay, &args, on_remote_done, call);
	xdr_free((xdrproc_t)xdr_zx_cell_store_args, &args);
}

static void finish_remote(void *ctx, enum fake_result result)
{
	struct remote_call *call = ctx;
	zx_cell_store_result reply = {0};

	if (result != FAKE_ANSWERED) {
		call->done(call->ctx,
			   result == FAKE_REFUSED ? ZR_E_UNREACHABLE
						  : ZR_E_OUTCOME_UNKNOWN,
			   NULL);
		return;
	}
	if (call->server->garbled) {
		call->done(call->ctx, ZR_E_PROTOCOL, NULL);
		return;
	}
	decode(&reply, (xdrproc_t)xdr_zx_cell_store_result, call->result,
	       call->result_length);
	call->done(call->ctx, 0, &reply);
	xdr_free((xdrproc_t)xdr_zx_cell_store_result, &reply);
}

static void free_remote(void *ctx)
{
	struct remote_call *call = ctx;

	free(call->args);
	free(call->result);
	free(call);
}

static bool send_remote(void *ctx, const zx_cell_store_args *args,
			unsigned int timeout_ms, zr_cell_relay_done_fn done,
			void *done_ctx)
{
	static const struct fake_call_ops ops = {serve_remote, finish_remote,
						 free_remote};
	struct host *client = ctx;
	struct script *script = client->script;
	struct remote_call *call;
	size_t i = 0;

	while (i < script->host_count && &script->hosts[i] == client)
		i++;
	if (i == script->host_count)
		return false;
	call = calloc(1, sizeof(*call));
	call->server = &script->hosts[i];
	call->args = encode(&call->args_length,
			    (xdrproc_t)xdr_zx_cell_store_args, args);
	call->done = done;
	call->ctx = done_ctx;
	fake_call_send(client->node, call->server->node, &ops, call,
		       timeout_ms);
	return true;
}

/* Results */

struct request {
	struct script *script;
	bool is_txn;
	char text[LINE_MAX_BYTES];
};

static void on_done(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct request *request = ctx;
	size_t i;

	printf("%6ld %s: ", fake_net_now_ms(request->script->net),
	       request->text);
	if (error < 0)
		printf("%s", zr_error_name(error));
	else
		printf("%s", !request->is_txn || reply->succeeded ? "ok"
								  : "conflict");
	for (i = 0; !error && i < reply->count; i++)
		printf(" %s=%.*s", reply->values[i].key,
		       (int)reply->values[i].length,
		       reply->values[i].data
			       ? (const char *)reply->values[i].data
			       : "(deleted)");
	printf("\n");
	if (!error && reply->lease)
		request->script->lease = reply->lease;
	free(request);
}

static struct request *new_request(struct script *script)
{
	struct request *request = calloc(1, sizeof(*request));

	request->script = script;
	request->is_txn = !strcmp(word(script, 0), "create");
	snprintf(request->text, sizeof(request->text), "%s %s %s",
		 word(script, 0), word(script, 1), word(script, 2));
	return request;
}

/* Verbs */

static void do_host(struct script *script)
{
	struct host *host = &script->hosts[script->host_count++];
	const struct zr_clock *clock;
	struct zr_store client;

	host->script = script;
	host->node = fake_node_new(script->net, word(script, 1));
	clock = fake_time_clock(fake_node_time(host->node));
	zr_metrics_new(&host->metrics);
	fake_store_client(&client, script->store, host->node);
	if (zr_store_health_new(&host->health, &host->direct, &client, clock) <
		    0 ||
	    zr_cell_relay_new(&host->relay, &host->store, &host->direct,
			      host->health,
			      fake_time_timers(fake_node_time(host->node)),
			      clock, host->metrics) < 0)
		abort();
	zr_cell_relay_set_sender(host->relay, send_remote, host);
}

static void do_read(struct script *script)
{
	zr_store_range(&find_host(script, word(script, 1))->store,
		       ZR_STORE_OTHER, word(script, 2), false, on_done,
		       new_request(script));
}

static void do_create(struct script *script)
{
	const char *key = word(script, 2);
	const struct zr_store_compare compare = {key, 0};
	const struct zr_store_put put = {key, word(script, 1),
					 strlen(word(script, 1)), 0};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	zr_store_commit(&find_host(script, word(script, 1))->store,
			ZR_STORE_ACCEPT, &txn, on_done, new_request(script));
}

static void do_grant(struct script *script)
{
	zr_store_lease_grant(&find_host(script, word(script, 1))->store,
			     number(script, 2), on_done, new_request(script));
}

static void do_renew(struct script *script)
{
	zr_store_lease_renew(&find_host(script, word(script, 1))->store,
			     script->lease, on_done, new_request(script));
}

static void do_watch(struct script *script)
{
	zr_store_watch(&find_host(script, word(script, 1))->store,
		       word(script, 2), 0, (unsigned int)number(script, 3),
		       on_done, new_request(script));
}

static void do_load(struct script *script)
{
	struct host *host = find_host(script, word(script, 1));
	long i;

	for (i = 0; i < number(script, 2); i++) {
		zr_store_range(&host->store, ZR_STORE_OTHER, "k", false,
			       on_done, new_request(script));
		fake_net_advance(script->net, (unsigned int)number(script, 3));
	}
}

static void do_check(struct script *script)
{
	const struct zr_store_compare compare = {"k", 0};
	const struct zr_store_txn txn = {&compare, 1, NULL, 0};
	struct host *host = find_host(script, word(script, 1));
	long i;

	for (i = 0; i < number(script, 2); i++) {
		zr_store_commit(&host->store, ZR_STORE_OTHER, &txn, on_done,
				new_request(script));
		fake_net_advance(script->net, (unsigned int)number(script, 3));
	}
}

static void do_advance(struct script *script)
{
	fake_net_advance(script->net, (unsigned int)number(script, 1));
}

static const char *link_endpoint(const char *name)
{
	return strcmp(name, "*") ? name : NULL;
}

static void do_link(struct script *script)
{
	static const char *const modes[] = {"pass", "hold", "drop", "duplicate",
					    "refuse"};
	int mode = 0;

	while (strcmp(modes[mode], word(script, 3)))
		mode++;
	fake_net_set_link(script->net, link_endpoint(word(script, 1)),
			  link_endpoint(word(script, 2)), (enum fake_link)mode);
}

static void do_release(struct script *script)
{
	fake_net_release(script->net, link_endpoint(word(script, 1)),
			 link_endpoint(word(script, 2)), false);
}

static void do_pause(struct script *script)
{
	fake_node_pause(fake_node_find(script->net, word(script, 1)), true);
}

static void do_resume(struct script *script)
{
	fake_node_pause(fake_node_find(script->net, word(script, 1)), false);
}

static void do_garble(struct script *script)
{
	find_host(script, word(script, 1))->garbled = true;
}

static void do_store(struct script *script)
{
	const struct fake_store_counts *counts =
		fake_store_counts(script->store);

	printf("%6ld store: %lu reads, %lu writes\n",
	       fake_net_now_ms(script->net), counts->reads[ZR_STORE_OTHER],
	       counts->writes[ZR_STORE_ACCEPT]);
}

static const struct {
	const char *name;
	void (*run)(struct script *script);
} verbs[] = {
	{"host", do_host},     {"read", do_read},	{"create", do_create},
	{"grant", do_grant},   {"renew", do_renew},	{"watch", do_watch},
	{"load", do_load},     {"check", do_check},	{"advance", do_advance},
	{"link", do_link},     {"release", do_release}, {"pause", do_pause},
	{"resume", do_resume}, {"store", do_store},	{"garble", do_garble},
};

static void run_line(struct script *script, char *line)
{
	char *text = strtok(line, " \t\n");
	size_t i;

	script->word_count = 0;
	for (; text && *text != '#' && script->word_count < WORDS_MAX;
	     text = strtok(NULL, " \t\n"))
		script->words[script->word_count++] = text;
	if (!script->word_count)
		return;
	for (i = 0; i < sizeof(verbs) / sizeof(*verbs); i++) {
		if (!strcmp(verbs[i].name, script->words[0])) {
			verbs[i].run(script);
			return;
		}
	}
	fprintf(stderr, "run_relay: unknown verb '%s'\n", script->words[0]);
	exit(2);
}

int main(int argc, char **argv)
{
	static struct script script;
	char line[LINE_MAX_BYTES];
	FILE *file = argc == 2 ? fopen(argv[1], "r") : NULL;
	size_t i;

	if (!file) {
		fprintf(stderr, "usage: run_relay SCRIPT\n");
		return 2;
	}
	script.net = fake_net_new();
	script.store = fake_store_new(script.net, "store");
	while (fgets(line, sizeof(line), file))
		run_line(&script, line);
	fclose(file);
	for (i = 0; i < script.host_count; i++) {
		zr_store_free(&script.hosts[i].store);
		zr_metrics_free(script.hosts[i].metrics);
	}
	fake_store_free(script.store);
	fake_net_free(script.net);
	return 0;
}

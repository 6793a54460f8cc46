#include "fakes/fake_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define NODE_NAME_MAX 64
#define LATENCY_MS 1
#define RATE_UNIT 1000000
#define MS_PER_S 1000

struct fake_node {
	struct fake_node *next;
	struct fake_net *net;
	char name[NODE_NAME_MAX];
	struct fake_time *time;
	bool paused;
	bool dead;
	unsigned int missed_ms; /* time that has passed while it was paused */
	long rate;		/* of the clock, in parts of RATE_UNIT */
	long remainder;		/* of a millisecond, in parts of RATE_UNIT */
};

struct link_rule {
	struct link_rule *next;
	char from[NODE_NAME_MAX];
	char to[NODE_NAME_MAX];
	enum fake_link mode;
};

/*
 * A limit of the bytes that matching links carry together. @credit is what can
 * be sent now, in thousandths of a byte.
 */
struct bandwidth_rule {
	struct bandwidth_rule *next;
	char from[NODE_NAME_MAX];
	char to[NODE_NAME_MAX];
	unsigned long bytes_per_s;
	unsigned long credit;
	unsigned long users; /* messages that share it in this millisecond */
};

struct fake_call {
	struct fake_call *prev;
	struct fake_call *next;
	struct fake_node *client;
	struct fake_node *server;
	const struct fake_call_ops *ops;
	void *ctx;
	struct zr_timer *timeout;
	unsigned int timeout_ms;
	bool finished;
	unsigned int refs; /* messages, users, and 1 until it is finished */
};

struct message {
	struct message *prev;
	struct message *next;
	struct fake_call *call;
	bool reply;
	bool refused; /* tells the caller that the request was not sent */
	bool held;
	long due_at;
	unsigned long bytes_left; /* that have not arrived */
	bool begun;		  /* a part has arrived */
};

struct fake_net {
	long now_ms;
	struct fake_node *nodes;
	struct link_rule *rules;
	struct bandwidth_rule *bandwidths;
	struct message *messages;
	struct fake_call *calls;
};

static void *allocate(size_t size)
{
	void *memory = calloc(1, size);

	if (!memory)
		abort();
	return memory;
}

/* Links */

static bool rule_matches(const char *rule, const char *name)
{
	return !*rule || !strcmp(rule, name);
}

static enum fake_link link_mode(const struct fake_net *net, const char *from,
				const char *to)
{
	const struct link_rule *rule;

	LL_FOREACH(net->rules, rule)
	{
		if (rule_matches(rule->from, from) &&
		    rule_matches(rule->to, to))
			return rule->mode;
	}
	return FAKE_LINK_PASS;
}

void fake_net_set_link(struct fake_net *net, const char *from, const char *to,
		       enum fake_link mode)
{
	struct link_rule *rule = allocate(sizeof(*rule));

	snprintf(rule->from, sizeof(rule->from), "%s", from ? from : "");
	snprintf(rule->to, sizeof(rule->to), "%s", to ? to : "");
	rule->mode = mode;
	/* Of all rules that match, the latest one applies. */
	LL_PREPEND(net->rules, rule);
}

void fake_net_set_bandwidth(struct fake_net *net, const char *from,
			    const char *to, unsigned long bytes_per_s)
{
	struct bandwidth_rule *rule = allocate(sizeof(*rule));

	snprintf(rule->from, sizeof(rule->from), "%s", from ? from : "");
	snprintf(rule->to, sizeof(rule->to), "%s", to ? to : "");
	rule->bytes_per_s = bytes_per_s;
	/* Of all rules that match, the latest one applies. */
	LL_PREPEND(net->bandwidths, rule);
}

/* The limit that applies to a link; NULL: none. */
static struct bandwidth_rule *find_bandwidth(const struct fake_net *net,
					     const char *from, const char *to)
{
	struct bandwidth_rule *rule;

	LL_FOREACH(net->bandwidths, rule)
	{
		if (rule_matches(rule->from, from) &&
		    rule_matches(rule->to, to))
			return rule->bytes_per_s ? rule : NULL;
	}
	return NULL;
}

static const struct fake_node *sender(const struct message *message)
{
	return message->reply ? message->call->server : message->call->client;
}

static struct fake_node *receiver(const struct message *message)
{
	return message->reply ? message->call->client : message->call->server;
}

static bool is_on_link(const struct message *message, const char *from,
		       const char *to)
{
	return (!from || !strcmp(sender(message)->name, from)) &&
	       (!to || !strcmp(receiver(message)->name, to));
}

void fake_net_release(struct fake_net *net, const char *from, const char *to,
		      bool reverse)
{
	struct message *message;
	struct message *next;

	DL_FOREACH_SAFE(net->messages, message, next)
	{
		if (!message->held || !is_on_link(message, from, to))
			continue;
		message->held = false;
		message->due_at = net->now_ms + LATENCY_MS;
		if (!reverse)
			continue;
		DL_DELETE(net->messages, message);
		DL_PREPEND(net->messages, message);
	}
}

/* Calls */

/*
 * Each message in flight holds a reference, and so does the caller until the
 * call has finished. Inlined, the compiler takes the second release for a use
 * after the first.
 */
static __attribute__((noinline)) void unref(struct fake_call *call)
{
	if (--call->refs)
		return;
	DL_DELETE(call->client->net->calls, call);
	zr_timer_free(call->timeout);
	call->ops->free(call->ctx);
	free(call);
}

static void finish(struct fake_call *call, enum fake_result result)
{
	if (call->finished)
		return;
	call->finished = true;
	zr_timer_stop(call->timeout);
	call->ops->finish(call->ctx, result);
	unref(call);
}

static void on_timeout(void *ctx)
{
	finish(ctx, FAKE_TIMED_OUT);
}

static struct message *add_message(struct fake_call *call, bool reply,
				   bool refused, bool held, unsigned long bytes)
{
	struct message *message = allocate(sizeof(*message));
	struct fake_net *net = call->client->net;

	message->call = call;
	message->reply = reply;
	message->refused = refused;
	message->held = held;
	message->due_at = net->now_ms + LATENCY_MS;
	message->bytes_left = bytes;
	call->refs++;
	DL_APPEND(net->messages, message);
	return message;
}

static void send_message(struct fake_call *call, bool reply,
			 unsigned long bytes)
{
	const struct fake_node *from = reply ? call->server : call->client;
	const struct fake_node *to = reply ? call->client : call->server;

	if (from->dead)
		return;
	switch (link_mode(from->net, from->name, to->name)) {
	case FAKE_LINK_PASS:
		add_message(call, reply, false, false, bytes);
		break;
	case FAKE_LINK_HOLD:
		add_message(call, reply, false, true, bytes);
		break;
	case FAKE_LINK_DROP:
		break;
	case FAKE_LINK_DUPLICATE:
		add_message(call, reply, false, false, bytes);
		add_message(call, reply, false, false, bytes);
		break;
	case FAKE_LINK_REFUSE:
		if (!reply)
			add_message(call, true, true, false, 0);
		break;
	}
}

static struct fake_call *begin_call(struct fake_node *client,
				    struct fake_node *server,
				    const struct fake_call_ops *ops, void *ctx,
				    unsigned int timeout_ms)
{
	struct fake_call *call = allocate(sizeof(*call));

	call->client = client;
	call->server = server;
	call->ops = ops;
	call->ctx = ctx;
	call->refs = 1;
	call->timeout =
		zr_timer_new(fake_time_timers(client->time), on_timeout, call);
	call->timeout_ms = timeout_ms;
	zr_timer_start(call->timeout, timeout_ms, 0);
	DL_APPEND(client->net->calls, call);
	return call;
}

void fake_call_send(struct fake_node *client, struct fake_node *server,
		    const struct fake_call_ops *ops, void *ctx,
		    unsigned int timeout_ms)
{
	send_message(begin_call(client, server, ops, ctx, timeout_ms), false,
		     0);
}

void fake_call_send_late(struct fake_node *client, struct fake_node *server,
			 const struct fake_call_ops *ops, void *ctx,
			 unsigned int timeout_ms, unsigned int late_ms)
{
	struct fake_call *call =
		begin_call(client, server, ops, ctx, timeout_ms);

	add_message(call, false, false, false, 0)->due_at += late_ms;
}

void fake_call_reply(struct fake_call *call)
{
	send_message(call, true, 0);
}

void fake_call_reply_bytes(struct fake_call *call, unsigned long bytes)
{
	send_message(call, true, bytes);
}

void fake_call_ref(struct fake_call *call)
{
	call->refs++;
}

void fake_call_unref(struct fake_call *call)
{
	unref(call);
}

void fake_calls_cancel(struct fake_node *client, struct fake_node *server)
{
	struct fake_call *call;
	struct fake_call *next;

	DL_FOREACH_SAFE(client->net->calls, call, next)
	{
		if (call->client == client &&
		    (!server || call->server == server))
			finish(call, FAKE_CANCELLED);
	}
}

void fake_calls_reset(struct fake_node *server)
{
	struct fake_call *call;
	struct fake_call *next;

	DL_FOREACH_SAFE(server->net->calls, call, next)
	{
		if (call->server == server)
			finish(call, FAKE_TIMED_OUT);
	}
}

void fake_call_refuse(struct fake_call *call)
{
	finish(call, FAKE_REFUSED);
}

static void process_message(struct message *message)
{
	struct fake_call *call = message->call;

	if (message->refused)
		finish(call, FAKE_REFUSED);
	else if (message->reply)
		finish(call, FAKE_ANSWERED);
	else
		call->ops->serve(call, call->ctx);
}

static void drop_message(struct fake_net *net, struct message *message)
{
	DL_DELETE(net->messages, message);
	unref(message->call);
	free(message);
}

/* Limited bandwidth */

/*
 * The limit that a message is waiting for; NULL: none. A caller that has given
 * up has closed the connection.
 */
static struct bandwidth_rule *limit_of(const struct fake_net *net,
				       const struct message *message)
{
	if (!message->bytes_left || message->held || message->call->finished ||
	    message->due_at > net->now_ms || receiver(message)->paused)
		return NULL;
	return find_bandwidth(net, sender(message)->name,
			      receiver(message)->name);
}

static bool link_passes(const struct fake_net *net,
			const struct message *message)
{
	return link_mode(net, sender(message)->name, receiver(message)->name) ==
	       FAKE_LINK_PASS;
}

static void receive_part(struct message *message, unsigned long bytes)
{
	struct fake_call *call = message->call;

	if (!bytes)
		return;
	message->begun = true;
	message->bytes_left -=
		bytes < message->bytes_left ? bytes : message->bytes_left;
	if (!call->finished)
		zr_timer_start(call->timeout, call->timeout_ms, 0);
}

/* Carries a millisecond's bytes, in even shares for the messages of a limit. */
static void carry_parts(struct fake_net *net)
{
	struct bandwidth_rule *rule;
	struct message *message;

	LL_FOREACH(net->bandwidths, rule)
	{
		rule->users = 0;
		rule->credit = rule->credit % MS_PER_S + rule->bytes_per_s;
	}
	DL_FOREACH(net->messages, message)
	{
		rule = limit_of(net, message);
		if (rule && link_passes(net, message))
			rule->users++;
	}
	DL_FOREACH(net->messages, message)
	{
		rule = limit_of(net, message);
		if (rule && link_passes(net, message))
			receive_part(message,
				     rule->credit / MS_PER_S / rule->users);
	}
}

bool fake_net_receiving(const struct fake_node *client,
			const struct fake_node *server)
{
	const struct message *message;

	DL_FOREACH(client->net->messages, message)
	{
		if (message->call->client == client &&
		    message->call->server == server &&
		    !message->call->finished && message->begun &&
		    limit_of(client->net, message) &&
		    link_passes(client->net, message))
			return true;
	}
	return false;
}

static struct message *next_due(const struct fake_net *net)
{
	struct message *message;

	DL_FOREACH(net->messages, message)
	{
		if (!message->held && !receiver(message)->paused &&
		    message->due_at <= net->now_ms && !limit_of(net, message))
			return message;
	}
	return NULL;
}

static void deliver_due(struct fake_net *net)
{
	struct message *message;

	while ((message = next_due(net))) {
		struct fake_call *call = message->call;

		DL_DELETE(net->messages, message);
		if (!receiver(message)->dead)
			process_message(message);
		unref(call);
		free(message);
	}
}

/* Nodes */

struct fake_node *fake_node_new(struct fake_net *net, const char *name)
{
	struct fake_node *node = allocate(sizeof(*node));

	node->net = net;
	node->time = fake_time_new();
	node->rate = RATE_UNIT;
	snprintf(node->name, sizeof(node->name), "%s", name);
	LL_APPEND(net->nodes, node);
	return node;
}

struct fake_node *fake_node_find(const struct fake_net *net, const char *name)
{
	struct fake_node *found = NULL;
	struct fake_node *node;

	LL_FOREACH(net->nodes, node)
	{
		if (!node->dead && !strcmp(node->name, name))
			found = node;
	}
	return found;
}

const char *fake_node_name(const struct fake_node *node)
{
	return node->name;
}

struct fake_time *fake_node_time(struct fake_node *node)
{
	return node->time;
}

struct fake_net *fake_node_net(struct fake_node *node)
{
	return node->net;
}

bool fake_node_paused(const struct fake_node *node)
{
	return node->paused;
}

void fake_node_pause(struct fake_node *node, bool paused)
{
	node->paused = paused;
	if (paused)
		return;
	fake_time_jump(node->time, node->missed_ms);
	node->missed_ms = 0;
}

void fake_node_set_rate(struct fake_node *node, int ppm)
{
	node->rate = RATE_UNIT + ppm;
}

void fake_node_kill(struct fake_node *node)
{
	fake_calls_cancel(node, NULL);
	node->dead = true;
}

static void advance_node(struct fake_node *node)
{
	unsigned int ms;

	if (node->dead)
		return;
	node->remainder += node->rate;
	ms = (unsigned int)(node->remainder / RATE_UNIT);
	node->remainder %= RATE_UNIT;
	if (node->paused)
		node->missed_ms += ms;
	else
		fake_time_advance(node->time, ms);
}

void fake_net_advance(struct fake_net *net, unsigned int ms)
{
	struct fake_node *node;

	for (; ms; ms--) {
		net->now_ms++;
		carry_parts(net);
		deliver_due(net);
		LL_FOREACH(net->nodes, node)
		{
			advance_node(node);
		}
	}
}

long fake_net_now_ms(const struct fake_net *net)
{
	return net->now_ms;
}

struct fake_net *fake_net_new(void)
{
	return allocate(sizeof(struct fake_net));
}

void fake_net_free(struct fake_net *net)
{
	struct link_rule *rule;
	struct link_rule *next_rule;
	struct bandwidth_rule *bandwidth;
	struct bandwidth_rule *next_bandwidth;
	struct fake_node *node;
	struct fake_node *next_node;

	while (net->messages)
		drop_message(net, net->messages);
	while (net->calls)
		unref(net->calls);
	LL_FOREACH_SAFE(net->rules, rule, next_rule)
	{
		free(rule);
	}
	LL_FOREACH_SAFE(net->bandwidths, bandwidth, next_bandwidth)
	{
		free(bandwidth);
	}
	LL_FOREACH_SAFE(net->nodes, node, next_node)
	{
		fake_time_free(node->time);
		free(node);
	}
	free(net);
}

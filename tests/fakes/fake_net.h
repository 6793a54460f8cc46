#ifndef FAKE_NET_H
#define FAKE_NET_H

#include <stdbool.h>

#include "fakes/fake_time.h"

/**
 * DOC: Simulated network
 *
 * A node is a process or host with a clock of its own. The test may pause or
 * kill a node, or let its clock run fast or slow. A call between two nodes is a
 * request and a reply, and each of these messages takes a millisecond. The test
 * may hold, drop, duplicate or refuse the messages of a link, which is a pair
 * of a sender and a receiver. A call without a reply ends at its timeout, and
 * its request may still arrive later. On a link with a limited bandwidth,
 * replies arrive in parts; the timeout then counts from the last part.
 */

struct fake_net;
struct fake_node;
struct fake_call;

/** enum fake_link - handling of the messages that are sent on a link */
enum fake_link {
	FAKE_LINK_PASS,
	FAKE_LINK_HOLD, /* until fake_net_release() */
	FAKE_LINK_DROP,
	FAKE_LINK_DUPLICATE,
	FAKE_LINK_REFUSE, /* calls end with FAKE_REFUSED; replies are dropped */
};

/** enum fake_result - result of a call for its caller */
enum fake_result {
	FAKE_ANSWERED,
	FAKE_REFUSED, /* the request was not sent */
	FAKE_TIMED_OUT,
	FAKE_CANCELLED,
};

struct fake_net *fake_net_new(void);
void fake_net_free(struct fake_net *net);

/**
 * fake_net_advance() - advance the time
 * @net: the network
 * @ms: duration, in milliseconds of the network's time
 *
 * Delivers messages and fires the timers of all nodes that aren't paused.
 */
void fake_net_advance(struct fake_net *net, unsigned int ms);

/** fake_net_now_ms() - milliseconds since the network was created */
long fake_net_now_ms(const struct fake_net *net);

/** fake_net_set_link() - set a link's mode; a NULL name matches any node */
void fake_net_set_link(struct fake_net *net, const char *from, const char *to,
		       enum fake_link mode);

/**
 * fake_net_set_bandwidth() - limit what a link carries
 * @net: the network
 * @from: name of the sender; NULL: any node
 * @to: name of the receiver; NULL: any node
 * @bytes_per_s: bytes per second, shared evenly by all replies on the matching
 *	links that fake_call_reply_bytes() has sent; 0: no limit
 */
void fake_net_set_bandwidth(struct fake_net *net, const char *from,
			    const char *to, unsigned long bytes_per_s);

/**
 * fake_net_receiving() - whether parts of a reply are arriving
 * @client: node that made the call
 * @server: node that replies
 *
 * Return: whether a part has arrived that does not end the reply, and more can
 * arrive: the link passes messages.
 */
bool fake_net_receiving(const struct fake_node *client,
			const struct fake_node *server);

/**
 * fake_net_release() - deliver the held messages of a link
 * @net: the network
 * @from: name of the sender; NULL: any node
 * @to: name of the receiver; NULL: any node
 * @reverse: deliver the latest message first
 */
void fake_net_release(struct fake_net *net, const char *from, const char *to,
		      bool reverse);

struct fake_node *fake_node_new(struct fake_net *net, const char *name);
struct fake_node *fake_node_find(const struct fake_net *net, const char *name);
const char *fake_node_name(const struct fake_node *node);
struct fake_time *fake_node_time(struct fake_node *node);
struct fake_net *fake_node_net(struct fake_node *node);
bool fake_node_paused(const struct fake_node *node);

/**
 * fake_node_pause() - stop or continue a node, like SIGSTOP and SIGCONT
 * @node: the node
 * @paused: whether to stop it
 *
 * When the node continues, waiting messages arrive before overdue timers fire.
 */
void fake_node_pause(struct fake_node *node, bool paused);

/** fake_node_set_rate() - set the node's clock drift, in parts per million */
void fake_node_set_rate(struct fake_node *node, int ppm);

/** fake_node_kill() - cancel the node's calls and deliver no message to it */
void fake_node_kill(struct fake_node *node);

/**
 * struct fake_call_ops - callbacks of a call
 * @serve: the server processes the request; called twice for a duplicate
 * @finish: the caller gets the result; called once
 * @free: frees the context; called when no message refers to the call
 */
struct fake_call_ops {
	void (*serve)(struct fake_call *call, void *ctx);
	void (*finish)(void *ctx, enum fake_result result);
	void (*free)(void *ctx);
};

/** fake_call_send() - start a call */
void fake_call_send(struct fake_node *client, struct fake_node *server,
		    const struct fake_call_ops *ops, void *ctx,
		    unsigned int timeout_ms);

/**
 * fake_call_send_late() - start a call whose request arrives late
 * @late_ms: added to the time that the request takes
 *
 * As fake_call_send() otherwise.
 */
void fake_call_send_late(struct fake_node *client, struct fake_node *server,
			 const struct fake_call_ops *ops, void *ctx,
			 unsigned int timeout_ms, unsigned int late_ms);

/**
 * fake_calls_cancel() - end the pending calls of a client as cancelled
 * @client: the caller's node
 * @server: limits the calls to those to this node; NULL: all calls
 */
void fake_calls_cancel(struct fake_node *client, struct fake_node *server);

/** fake_calls_reset() - end the pending calls to a server without a reply */
void fake_calls_reset(struct fake_node *server);

/** fake_call_refuse() - end a call as refused, from @serve */
void fake_call_refuse(struct fake_call *call);

/** fake_call_reply() - send the reply, from @serve or later */
void fake_call_reply(struct fake_call *call);

/**
 * fake_call_reply_bytes() - send a reply of a given size
 * @call: the call
 * @bytes: size, which only counts on a link with a limited bandwidth
 */
void fake_call_reply_bytes(struct fake_call *call, unsigned long bytes);

/** fake_call_ref() - keep a call so that the server can reply after @serve */
void fake_call_ref(struct fake_call *call);

/** fake_call_unref() - release a call that fake_call_ref() has kept */
void fake_call_unref(struct fake_call *call);

#endif

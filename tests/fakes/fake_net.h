#ifndef FAKE_NET_H
#define FAKE_NET_H

#include <stdbool.h>

#include "fakes/fake_time.h"

/**
 * DOC: Processes and messages that a test moves by hand
 *
 * A node is a process or host with a clock of its own, which may be paused,
 * killed or run at another rate. Calls between nodes are messages that take a
 * millisecond each way; the test may hold, drop, double or refuse those of a
 * link. A call that gets no answer ends at its timeout, as real ones do, and
 * its request may still arrive later.
 */

struct fake_net;
struct fake_node;
struct fake_call;

enum fake_link {
	FAKE_LINK_PASS,
	FAKE_LINK_HOLD,
	FAKE_LINK_DROP,
	FAKE_LINK_DUPLICATE,
	FAKE_LINK_REFUSE, /* the caller learns at once that nothing was sent */
};

enum fake_result {
	FAKE_ANSWERED,
	FAKE_REFUSED,
	FAKE_TIMED_OUT,
	FAKE_CANCELLED,
};

struct fake_net *fake_net_new(void);
void fake_net_free(struct fake_net *net);

/** fake_net_advance() - let time pass for all nodes that are not paused */
void fake_net_advance(struct fake_net *net, unsigned int ms);

/** fake_net_now_ms() - milliseconds since the test began, by true time */
long fake_net_now_ms(const struct fake_net *net);

/** fake_net_set_link() - how messages pass; a NULL name stands for any node */
void fake_net_set_link(struct fake_net *net, const char *from, const char *to,
		       enum fake_link mode);

/** fake_net_release() - let held messages of a link go, first or last first */
void fake_net_release(struct fake_net *net, const char *from, const char *to,
		      bool reverse);

struct fake_node *fake_node_new(struct fake_net *net, const char *name);
struct fake_node *fake_node_find(const struct fake_net *net, const char *name);
const char *fake_node_name(const struct fake_node *node);
struct fake_time *fake_node_time(struct fake_node *node);
struct fake_net *fake_node_net(struct fake_node *node);
bool fake_node_paused(const struct fake_node *node);

/** fake_node_pause() - SIGSTOP or SIGCONT; overdue timers fire after messages
 */
void fake_node_pause(struct fake_node *node, bool paused);

/** fake_node_set_rate() - let its clock run fast or slow by parts in a million
 */
void fake_node_set_rate(struct fake_node *node, int ppm);

/** fake_node_kill() - no message reaches it any more; its calls are cancelled
 */
void fake_node_kill(struct fake_node *node);

/**
 * struct fake_call_ops - what a call does
 * @serve: the request has arrived; called again when it is doubled
 * @finish: the caller learns the result; called once
 * @free: no message of it is left
 */
struct fake_call_ops {
	void (*serve)(struct fake_call *call, void *ctx);
	void (*finish)(void *ctx, enum fake_result result);
	void (*free)(void *ctx);
};

/** fake_call_send() - begin a call */
void fake_call_send(struct fake_node *client, struct fake_node *server,
		    const struct fake_call_ops *ops, void *ctx,
		    unsigned int timeout_ms);

/** fake_calls_cancel() - end the open calls of a client, as freeing it does */
void fake_calls_cancel(struct fake_node *client, struct fake_node *server);

/** fake_call_reply() - answer a call that is being served, now or later */
void fake_call_reply(struct fake_call *call);

/** fake_call_ref() - the server keeps it to answer later; end with a reply */
void fake_call_ref(struct fake_call *call);

/** fake_call_unref() - the server will not answer it after all */
void fake_call_unref(struct fake_call *call);

#endif

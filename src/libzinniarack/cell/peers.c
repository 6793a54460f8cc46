#include "cell/peers.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/advice.h"
#include "cell/records.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* A host that is gone is asked in vain until its lease is over. */
#define LEASE_MS 3000
#define TICK_MS 800
/* Added to the time that the adviser may take, for the way to the host. */
#define RPC_SLACK_MS 100
/* The store is asked, or its watch tells, when a host does not answer. */
#define TELL_TIMEOUT_MS 400
#define STATE_TIMEOUT_MS 250
/* How often a host that does not own the cell reads who the hosts are. */
#define IDLE_TICKS 5
#define MILLICPUS 1000

/* Another host. Rows are kept, so that open questions can refer to them. */
struct member {
	char name[ZR_NAME_MAX];
	char address[ZR_NAME_MAX];
	struct zr_rpc_client *client;
	uint32_t size;
	bool present;
};

struct zr_cell_members {
	uv_loop_t *loop;
	const struct zr_cell_surroundings *surroundings;
	char name[ZR_NAME_MAX];
	char address[ZR_NAME_MAX];
	uint32_t size; /* thousandths of a processor */
	zr_cell_members_fn changed;
	struct zr_cell_members_events events;
	void *ctx;
	unsigned int ticks;
	struct zr_timer *timer;
	struct zr_rpc_server *server;
	struct member members[ZR_CELL_HELPERS_MAX];
	size_t count;
	int64_t lease;
	bool registered;
	bool registering;
	bool following;
	bool reading;
	bool leaving;
};

static const struct zr_rpc_procedure advise_procedure = {
	.number = ZX_CELL_ADVISE,
	.encode_args = (xdrproc_t)xdr_zx_cell_advise_args,
	.decode_result = (xdrproc_t)xdr_zx_cell_advise_result,
	.args_size = sizeof(zx_cell_advise_args),
	.result_size = sizeof(zx_cell_advise_result),
};

static const struct zr_rpc_procedure news_procedure = {
	.number = ZX_CELL_NEWS,
	.encode_args = (xdrproc_t)xdr_zx_cell_news,
	.decode_result = (xdrproc_t)xdr_zx_cell_taken,
	.args_size = sizeof(zx_cell_news),
	.result_size = sizeof(zx_cell_taken),
};

static const struct zr_rpc_procedure state_procedure = {
	.number = ZX_CELL_STATE,
	.encode_args = (xdrproc_t)xdr_zx_cell_state_args,
	.decode_result = (xdrproc_t)xdr_zx_cell_state_result,
	.args_size = sizeof(zx_cell_state_args),
	.result_size = sizeof(zx_cell_state_result),
};

/* Registration */

static void on_put(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_cell_members *members = ctx;

	members->registering = false;
	members->registered = !error && reply->succeeded;
}

static void on_lease(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_cell_members *members = ctx;
	char key[ZR_CELL_KEY_MAX];
	char value[2 * ZR_NAME_MAX];
	struct zr_store_put put = {key, value, 0, 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};

	if (error < 0) {
		members->registering = false;
		return;
	}
	members->lease = reply->lease;
	put.lease = reply->lease;
	put.length = (size_t)snprintf(value, sizeof(value), "%s %" PRIu32,
				      members->address, members->size);
	snprintf(key, sizeof(key), "%s%s", ZR_CELL_HOST_PREFIX, members->name);
	zr_store_commit(&members->surroundings->store, ZR_STORE_LEASE, &txn,
			on_put, members);
}

static void on_kept(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_cell_members *members = ctx;

	(void)reply;
	members->registering = false;
	if (error == ZR_E_NOT_FOUND)
		members->registered = false;
}

static void keep_registered(struct zr_cell_members *members)
{
	const struct zr_store *store = &members->surroundings->store;

	if (members->registering || members->leaving)
		return;
	members->registering = true;
	if (members->registered)
		zr_store_lease_keep(store, members->lease, on_kept, members);
	else
		zr_store_lease_grant(store, LEASE_MS, on_lease, members);
}

/* Questions for another host's scheduler */

struct request {
	struct zr_rpc_call *call;
};

static void on_advised(void *ctx, int error,
		       const struct zr_cell_permit *permits, size_t count,
		       uint32_t validity_ms)
{
	struct request *request = ctx;
	zx_cell_advise_result result = {.error = error,
					.validity_ms = validity_ms};
	size_t i;

	result.permits.permits_val =
		calloc(count + 1, sizeof(*result.permits.permits_val));
	if (!result.permits.permits_val)
		abort();
	result.permits.permits_len = (u_int)count;
	for (i = 0; i < count; i++) {
		result.permits.permits_val[i].worker =
			(char *)permits[i].worker;
		result.permits.permits_val[i].ticket =
			(char *)permits[i].ticket;
	}
	zr_rpc_reply(request->call, &result);
	free(result.permits.permits_val);
	free(request);
}

static void serve_advise(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_cell_members *members = ctx;
	const struct zr_cell_surroundings *surroundings = members->surroundings;
	const zx_cell_advise_args *args = data;
	struct request *request = calloc(1, sizeof(*request));
	const char *names[ZR_CELL_ADVISE_MAX];
	u_int count = args->workers.workers_len;
	u_int i;

	if (!request)
		abort();
	request->call = call;
	if (!surroundings->advise || members->leaving) {
		on_advised(request, ZR_E_SHUTTING_DOWN, NULL, 0, 0);
		return;
	}
	if (count > ZR_CELL_ADVISE_MAX)
		count = ZR_CELL_ADVISE_MAX;
	for (i = 0; i < count; i++)
		names[i] = args->workers.workers_val[i].name;
	surroundings->advise(surroundings->ctx, args->job, args->occurrence,
			     args->step, names, count, args->timeout_ms,
			     on_advised, request);
}

/* Jobs */

static void serve_news(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_cell_members *members = ctx;
	const zx_cell_news *news = data;
	bool cancel = !news->record.record_len;
	zx_cell_taken result = {
		members->events.news(members->ctx, news->job,
				     cancel ? NULL : news->record.record_val,
				     news->record.record_len)};

	zr_rpc_reply(call, &result);
}

static void on_own_state(void *ctx, int error, enum zr_cell_job_state state)
{
	zx_cell_state_result result = {.known = !error, .state = state};

	zr_rpc_reply(ctx, &result);
}

static void serve_state(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_cell_members *members = ctx;
	const zx_cell_state_args *args = data;

	members->events.state(members->ctx, args->job, on_own_state, call);
}

static struct member *present_member(struct zr_cell_members *members,
				     const char *name)
{
	size_t i;

	for (i = 0; i < members->count; i++) {
		if (members->members[i].present &&
		    !strcmp(members->members[i].name, name))
			return &members->members[i];
	}
	return NULL;
}

static void on_told(void *ctx, int error, void *data)
{
	const zx_cell_taken *result = data;
	char *job = ctx;

	if (error < 0 || !result->taken)
		zr_log_decision("job.untold job=%s error=%s", job,
				error < 0 ? zr_error_name(error) : "not_taken");
	free(job);
}

void zr_cell_members_tell(struct zr_cell_members *members, const char *host,
			  const char *job, const void *record, size_t length)
{
	struct member *member = present_member(members, host);
	zx_cell_news news = {(char *)job, {(u_int)length, (char *)record}};

	if (!strcmp(host, members->name))
		members->events.news(members->ctx, job, record, length);
	else if (member)
		zr_rpc_client_call(member->client, &news_procedure, &news,
				   TELL_TIMEOUT_MS, on_told, strdup(job));
}

struct state_call {
	zr_cell_state_fn done;
	void *ctx;
};

static void on_state(void *ctx, int error, void *data)
{
	struct state_call *call = ctx;
	const zx_cell_state_result *result = data;

	if (!error && !result->known)
		error = ZR_E_NOT_FOUND;
	call->done(call->ctx, error,
		   error < 0 ? ZR_CELL_JOB_QUEUED
			     : (enum zr_cell_job_state)result->state);
	free(call);
}

void zr_cell_members_state(struct zr_cell_members *members, const char *host,
			   const char *job, zr_cell_state_fn done, void *ctx)
{
	struct member *member = present_member(members, host);
	zx_cell_state_args args = {(char *)job};
	struct state_call *call;

	if (!strcmp(host, members->name)) {
		members->events.state(members->ctx, job, done, ctx);
		return;
	}
	if (!member) {
		done(ctx, ZR_E_UNREACHABLE, ZR_CELL_JOB_QUEUED);
		return;
	}
	call = calloc(1, sizeof(*call));
	if (!call)
		abort();
	call->done = done;
	call->ctx = ctx;
	zr_rpc_client_call(member->client, &state_procedure, &args,
			   STATE_TIMEOUT_MS, on_state, call);
}

/* Questions through another host */

struct question {
	zr_cell_advise_fn done;
	void *ctx;
};

static void on_remote_advised(void *ctx, int error, void *data)
{
	struct question *question = ctx;
	const zx_cell_advise_result *result = data;
	struct zr_cell_permit *permits;
	u_int count;
	u_int i;

	if (!error)
		error = result->error;
	if (error < 0) {
		question->done(question->ctx, error, NULL, 0, 0);
		free(question);
		return;
	}
	count = result->permits.permits_len;
	permits = calloc(count + 1, sizeof(*permits));
	if (!permits)
		abort();
	for (i = 0; i < count; i++) {
		snprintf(permits[i].worker, sizeof(permits[i].worker), "%s",
			 result->permits.permits_val[i].worker);
		snprintf(permits[i].ticket, sizeof(permits[i].ticket), "%s",
			 result->permits.permits_val[i].ticket);
	}
	question->done(question->ctx, 0, permits, count, result->validity_ms);
	free(permits);
	free(question);
}

static void ask_member(void *ctx, const char *job, uint32_t occurrence,
		       uint32_t step, const char *const *workers, size_t count,
		       unsigned int timeout_ms, zr_cell_advise_fn done,
		       void *done_ctx)
{
	struct member *member = ctx;
	struct question *question = calloc(1, sizeof(*question));
	zx_cell_worker_name names[ZR_CELL_ADVISE_MAX];
	zx_cell_advise_args args = {
		.job = (char *)job,
		.occurrence = occurrence,
		.step = step,
		.timeout_ms = timeout_ms,
		.workers = {(u_int)count, names},
	};
	size_t i;

	if (!question)
		abort();
	question->done = done;
	question->ctx = done_ctx;
	for (i = 0; i < count; i++)
		names[i].name = (char *)workers[i];
	zr_rpc_client_call(member->client, &advise_procedure, &args,
			   timeout_ms + RPC_SLACK_MS, on_remote_advised,
			   question);
}

static void ask_here(void *ctx, const char *job, uint32_t occurrence,
		     uint32_t step, const char *const *workers, size_t count,
		     unsigned int timeout_ms, zr_cell_advise_fn done,
		     void *done_ctx)
{
	const struct zr_cell_members *members = ctx;
	const struct zr_cell_surroundings *surroundings = members->surroundings;

	surroundings->advise(surroundings->ctx, job, occurrence, step, workers,
			     count, timeout_ms, done, done_ctx);
}

/* Who is there */

static struct member *find_member(struct zr_cell_members *members,
				  const char *name, const char *address)
{
	size_t i;

	for (i = 0; i < members->count; i++) {
		if (!strcmp(members->members[i].name, name) &&
		    !strcmp(members->members[i].address, address))
			return &members->members[i];
	}
	return NULL;
}

static void add_member(struct zr_cell_members *members, const char *name,
		       const char *address, uint32_t size)
{
	struct member *member = find_member(members, name, address);

	if (member) {
		member->present = true;
		return;
	}
	if (members->count == ZR_CELL_HELPERS_MAX)
		return;
	member = &members->members[members->count];
	if (zr_rpc_client_new(&member->client, members->loop, address, ZX_CELL,
			      ZX_CELL_V1) < 0)
		return;
	members->count++;
	snprintf(member->name, sizeof(member->name), "%s", name);
	snprintf(member->address, sizeof(member->address), "%s", address);
	member->size = size;
	member->present = true;
	zr_log(ZR_LOG_INFO, "host.found host=%s address=%s size=%" PRIu32, name,
	       address, size);
}

static void tell_helpers(struct zr_cell_members *members)
{
	struct zr_cell_helper helpers[ZR_CELL_HELPERS_MAX + 1];
	size_t count = 0;
	size_t i;

	if (!members->surroundings->advise || !members->following)
		return;
	snprintf(helpers[0].name, sizeof(helpers[0].name), "%s", members->name);
	helpers[0].ask = ask_here;
	helpers[0].ctx = members;
	count = 1;
	for (i = 0; i < members->count; i++) {
		struct member *member = &members->members[i];

		if (!member->present)
			continue;
		memcpy(helpers[count].name, member->name, ZR_NAME_MAX);
		helpers[count].ask = ask_member;
		helpers[count].ctx = member;
		count++;
	}
	members->changed(members->ctx, helpers, count);
}

/* A value is the address and the size, with a space between. */
static int read_host(char out[ZR_NAME_MAX], uint32_t *out_size,
		     const char *value)
{
	size_t length = strcspn(value, " ");

	if (!length || length >= ZR_NAME_MAX)
		return ZR_E_PROTOCOL;
	memcpy(out, value, length);
	out[length] = '\0';
	*out_size = (uint32_t)strtoul(value + length, NULL, 10);
	return 0;
}

bool zr_cell_members_larger(const struct zr_cell_members *members)
{
	size_t i;

	for (i = 0; i < members->count; i++) {
		if (members->members[i].present &&
		    members->members[i].size > members->size)
			return true;
	}
	return false;
}

static void on_hosts(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_cell_members *members = ctx;
	char address[ZR_NAME_MAX];
	uint32_t size;
	size_t i;

	members->reading = false;
	if (error < 0)
		return;
	for (i = 0; i < members->count; i++)
		members->members[i].present = false;
	for (i = 0; i < reply->count; i++) {
		const struct zr_store_value *value = &reply->values[i];
		const char *name = value->key + strlen(ZR_CELL_HOST_PREFIX);

		if (value->data && strcmp(name, members->name) &&
		    read_host(address, &size, value->data) == 0)
			add_member(members, name, address, size);
	}
	tell_helpers(members);
}

static void on_tick(void *ctx)
{
	struct zr_cell_members *members = ctx;

	keep_registered(members);
	if (members->reading ||
	    (!members->following && members->ticks++ % IDLE_TICKS))
		return;
	members->reading = true;
	zr_store_range(&members->surroundings->store, ZR_STORE_OTHER,
		       ZR_CELL_HOST_PREFIX, true, on_hosts, members);
}

void zr_cell_members_follow(struct zr_cell_members *members, bool follow)
{
	if (members->following == follow)
		return;
	members->following = follow;
	if (follow) {
		tell_helpers(members);
		on_tick(members);
	}
}

static void on_left(void *ctx, int error, const struct zr_store_reply *reply)
{
	(void)ctx;
	(void)reply;
	if (error < 0)
		zr_log(ZR_LOG_INFO, "host.lease_left error=%s",
		       zr_error_name(error));
}

void zr_cell_members_leave(struct zr_cell_members *members)
{
	members->leaving = true;
	if (members->registered)
		zr_store_lease_revoke(&members->surroundings->store,
				      members->lease, on_left, members);
}

int zr_cell_members_new(struct zr_cell_members **out, uv_loop_t *loop,
			const struct zr_timers *timers,
			const struct zr_cell_surroundings *surroundings,
			const char *name, const char *address,
			double processors, zr_cell_members_fn changed,
			const struct zr_cell_members_events *events, void *ctx)
{
	static const struct zr_rpc_service services[] = {
		{&advise_procedure, serve_advise},
		{&news_procedure, serve_news},
		{&state_procedure, serve_state},
		{NULL, NULL},
	};
	struct zr_cell_members *members = calloc(1, sizeof(*members));
	int error;

	if (!members)
		return ZR_E_NOMEM;
	members->loop = loop;
	members->surroundings = surroundings;
	members->changed = changed;
	members->events = *events;
	members->size = (uint32_t)(processors * MILLICPUS);
	members->ctx = ctx;
	snprintf(members->name, sizeof(members->name), "%s", name);
	snprintf(members->address, sizeof(members->address), "%s", address);
	error = zr_rpc_server_new(&members->server, loop, address, ZX_CELL,
				  ZX_CELL_V1, services, members);
	if (error < 0) {
		free(members);
		return error;
	}
	members->timer = zr_timer_new(timers, on_tick, members);
	zr_timer_start(members->timer, 0, TICK_MS);
	*out = members;
	return 0;
}

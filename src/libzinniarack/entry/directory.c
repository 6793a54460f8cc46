#include "entry/directory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "rpc/procedures.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define POLL_MS 500
#define STATUS_TIMEOUT_MS 1000
/* A scheduler's last response is valid for this long. */
#define RESPONSE_VALIDITY_MS 2500
#define DOMAINS_MAX 16

/* A scheduler of the host list and its last response. */
struct scheduler {
	struct scheduler *prev;
	struct scheduler *next;
	struct zr_directory *directory;
	char name[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	struct zr_rpc_client *client;
	bool in_host_list;
	bool call_in_flight;
	bool has_responded;
	struct timespec responded_at;
	bool active;
	uint64_t epoch;
	uint64_t config_version;
};

struct zr_directory {
	uv_loop_t *loop;
	const struct zr_clock *clock;
	uv_timer_t timer;
	struct scheduler *schedulers;
	char domains[DOMAINS_MAX][ZR_NAME_MAX];
	size_t domain_count;
};

static bool responded_recently(const struct scheduler *scheduler)
{
	struct timespec now = zr_clock_now(scheduler->directory->clock);

	return scheduler->has_responded &&
	       zr_time_diff_ms(now, scheduler->responded_at) <
		       RESPONSE_VALIDITY_MS;
}

static void on_status(void *ctx, int error, void *data)
{
	struct scheduler *scheduler = ctx;
	const zx_status_result *status = data;

	scheduler->call_in_flight = false;
	/*
	 * After an error, the last response stays valid for a while. If another
	 * scheduler has become the owner, it reports a higher epoch.
	 */
	if (error < 0)
		return;
	scheduler->has_responded = true;
	scheduler->responded_at = zr_clock_now(scheduler->directory->clock);
	scheduler->active = status->active;
	scheduler->epoch = status->epoch;
	scheduler->config_version = status->config_version;
}

static void on_tick(uv_timer_t *timer)
{
	struct zr_directory *directory = timer->data;
	struct scheduler *scheduler;
	zx_status_args args = {0};

	DL_FOREACH(directory->schedulers, scheduler)
	{
		if (scheduler->call_in_flight)
			continue;
		scheduler->call_in_flight = true;
		zr_rpc_client_call(scheduler->client, &zr_proc_status, &args,
				   STATUS_TIMEOUT_MS, on_status, scheduler);
	}
}

/* Host list */

/* Adds a failure domain to the sorted list of names. */
static void add_domain(struct zr_directory *directory, const char *domain)
{
	size_t index = 0;
	int comparison = 1;

	while (index < directory->domain_count &&
	       (comparison = strcmp(directory->domains[index], domain)) < 0)
		index++;
	if (index < directory->domain_count && !comparison)
		return;
	if (directory->domain_count == DOMAINS_MAX) {
		zr_log(ZR_LOG_ERROR, "directory.too_many_domains domain=%s",
		       domain);
		return;
	}
	memmove(directory->domains[index + 1], directory->domains[index],
		(directory->domain_count - index) * ZR_NAME_MAX);
	snprintf(directory->domains[index], ZR_NAME_MAX, "%s", domain);
	directory->domain_count++;
}

/* Finds a scheduler with the same name and address. */
static struct scheduler *find_scheduler(struct zr_directory *directory,
					const struct zr_host *host)
{
	struct scheduler *scheduler;

	DL_FOREACH(directory->schedulers, scheduler)
	{
		if (!strcmp(scheduler->name, host->name) &&
		    !strcmp(zr_rpc_client_address(scheduler->client),
			    host->scheduler_address))
			return scheduler;
	}
	return NULL;
}

static struct scheduler *add_scheduler(struct zr_directory *directory,
				       const struct zr_host *host)
{
	struct scheduler *scheduler = calloc(1, sizeof(*scheduler));

	if (!scheduler)
		abort();
	if (zr_rpc_client_new(&scheduler->client, directory->loop,
			      host->scheduler_address, ZX_SCHEDULER,
			      ZX_SCHEDULER_V1) < 0) {
		free(scheduler);
		return NULL;
	}
	scheduler->directory = directory;
	snprintf(scheduler->name, ZR_NAME_MAX, "%s", host->name);
	snprintf(scheduler->domain, ZR_NAME_MAX, "%s", host->domain);
	add_domain(directory, host->domain);
	DL_APPEND(directory->schedulers, scheduler);
	return scheduler;
}

static void remove_scheduler(struct scheduler *scheduler)
{
	DL_DELETE(scheduler->directory->schedulers, scheduler);
	zr_rpc_client_free(scheduler->client);
	free(scheduler);
}

void zr_directory_set_hosts(struct zr_directory *directory,
			    const struct zr_host *hosts, size_t count)
{
	struct scheduler *scheduler;
	struct scheduler *next;
	size_t i;

	DL_FOREACH(directory->schedulers, scheduler)
	scheduler->in_host_list = false;
	for (i = 0; i < count; i++) {
		if (hosts[i].kind != ZR_HOST_ENTRY)
			continue;
		scheduler = find_scheduler(directory, &hosts[i]);
		if (!scheduler)
			scheduler = add_scheduler(directory, &hosts[i]);
		if (scheduler)
			scheduler->in_host_list = true;
	}
	DL_FOREACH_SAFE(directory->schedulers, scheduler, next)
	{
		if (!scheduler->in_host_list && !responded_recently(scheduler))
			remove_scheduler(scheduler);
	}
}

/* Queries */

struct zr_rpc_client *
zr_directory_get_active(const struct zr_directory *directory,
			const char *domain)
{
	const struct scheduler *best = NULL;
	const struct scheduler *scheduler;

	DL_FOREACH(directory->schedulers, scheduler)
	{
		if (strcmp(scheduler->domain, domain) || !scheduler->active ||
		    !responded_recently(scheduler))
			continue;
		if (!best || scheduler->epoch > best->epoch)
			best = scheduler;
	}
	return best ? best->client : NULL;
}

const char *zr_directory_get_domain(const struct zr_directory *directory,
				    size_t index)
{
	if (index >= directory->domain_count)
		return NULL;
	return directory->domains[index];
}

void zr_directory_each(
	const struct zr_directory *directory,
	void (*each)(void *ctx, const struct zr_directory_scheduler *scheduler),
	void *ctx)
{
	const struct scheduler *scheduler;

	DL_FOREACH(directory->schedulers, scheduler)
	{
		const struct zr_directory_scheduler info = {
			.name = scheduler->name,
			.domain = scheduler->domain,
			.address = zr_rpc_client_address(scheduler->client),
			.responded = responded_recently(scheduler),
			.active = scheduler->active,
			.epoch = scheduler->epoch,
			.config_version = scheduler->config_version,
		};

		each(ctx, &info);
	}
}

int zr_directory_new(struct zr_directory **out, uv_loop_t *loop,
		     const struct zr_clock *clock)
{
	struct zr_directory *directory = calloc(1, sizeof(*directory));

	if (!directory)
		return ZR_E_NOMEM;
	directory->loop = loop;
	directory->clock = clock;
	uv_timer_init(loop, &directory->timer);
	directory->timer.data = directory;
	uv_timer_start(&directory->timer, on_tick, POLL_MS, POLL_MS);
	*out = directory;
	return 0;
}

static void on_timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}

void zr_directory_free(struct zr_directory *directory)
{
	struct scheduler *scheduler;
	struct scheduler *next;

	if (!directory)
		return;
	DL_FOREACH_SAFE(directory->schedulers, scheduler, next)
	remove_scheduler(scheduler);
	uv_close((uv_handle_t *)&directory->timer, on_timer_closed);
}

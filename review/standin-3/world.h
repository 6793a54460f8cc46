#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#define WORLD_STEPS_MAX 2
#define WORLD_NAME_MAX 96

/**
 * DOC: Stand-in for everything outside of the hosts
 *
 * One process is the platform's store (tests/soak/store.c), the workers, the
 * operator and the clients of a small cell; the hosts are processes of their
 * own. A case sends jobs, brings its disruption about and judges what the
 * workers and the clients have seen. All of it is written to the record.
 */

/**
 * struct world_step - a step of a job
 * @count: number of work items
 * @cpu: thousandths of a core that a work item uses
 * @gang: the work items work only together
 * @work_ms: how long a work item works
 * @lasts: the work items run until the job is cancelled
 * @saves: the work items save their progress
 * @label: label that the worker must have, or ""
 */
struct world_step {
	int count;
	int cpu;
	bool gang;
	int work_ms;
	bool lasts;
	bool saves;
	char label[8];
};

/**
 * struct world_job - a job of a client
 * @id: 16 hexadecimal digits
 * @tenant: whose key the call carries
 * @key: that key
 * @prefix: route that it is sent to
 * @status: of the last answer to its submission, 0: none
 * @accepted_at: when an answer said that it is stored, 0: none has
 * @state: last state that an answer gave, or ""
 * @failed_runs: runs of its work items that have ended as failed
 * @lost_runs: runs that were lost with their worker
 */
struct world_job {
	char id[20];
	char tenant[32];
	char key[32];
	char prefix[32];
	struct world_step steps[WORLD_STEPS_MAX];
	int step_count;
	int status;
	int64_t accepted_at;
	char state[16];
	int failed_runs;
	int lost_runs;
	bool asking;
	int64_t asked_at;
	int64_t last_run_at; /* when a run of it was last seen running */
	UT_hash_handle hh;
};

struct world_run {
	char task[WORLD_NAME_MAX];
	int64_t attempt;
	struct world_job *job;
	const struct world_step *step;
	int64_t started_at;
	int64_t ends_at; /* 0: its gang is incomplete, or it lasts */
	int64_t saved_at;
	char checkpoint[WORLD_NAME_MAX]; /* last one, "" */
	struct world_run *prev;
	struct world_run *next;
};

struct world_worker;

/** struct world_case - a case: what it does and what it judges */
struct world_case {
	const char *name;
	int workers;
	int worker_cpu;
	const char *const *kinds; /* of the workers; NULL: all "a" */
	/* Writes the first configuration. */
	void (*configure)(void);
	/* Called all the time, once the hosts are ready; @ms since then. */
	void (*tick)(int64_t ms);
	/* A start has arrived; returns a status to refuse it with, or 0. */
	int (*start_arrives)(int worker, struct world_job *job);
	void (*run_begun)(const struct world_run *run);
	/* The same, with the worker. */
	void (*run_begun_on)(int worker, const struct world_run *run);
	/* A start carries a checkpoint. */
	void (*checkpoint_given)(const struct world_run *run,
				 const char *checkpoint);
};

extern const struct world_case world_quota_gang;
extern const struct world_case world_unfit;
extern const struct world_case world_lasting_restart;
extern const struct world_case world_checkpoint;
extern const struct world_case world_shrunk;

/* tests/soak/store.c, see tests/soak/soak.h. */

struct zr_http_exchange;

int64_t soak_now_ms(void);
void soak_violation(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
void soak_reply(struct zr_http_exchange *exchange, int status, json_t *body);
void soak_store_serve(void *ctx, struct zr_http_exchange *exchange);
void soak_store_tick(void);
void soak_store_put(const char *key, json_t *value);
void soak_store_down(int64_t ms, bool silent);

/* What a case may use. */

bool world_trouble(void);
int world_hosts(void);
void world_record(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
/** world_broken() - note that a rule is broken; the run goes on */
void world_broken(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
/** world_finish() - end the run: 1 if a rule is broken, 0 if not */
void world_finish(void);
/** world_cannot_run() - end the run with 2 */
void world_cannot_run(const char *why);

struct world_job *world_new_job(const char *tenant, const char *key,
				const char *prefix);
struct world_step *world_add_step(struct world_job *job, int count, int cpu,
				  bool gang, int work_ms);
void world_submit(struct world_job *job, int host);
struct world_job *world_jobs(void);
/** world_tenant_cpu() - what the running work items of a tenant use */
int64_t world_tenant_cpu(const char *tenant);
/** world_crash() - end a worker's process; it starts again after @down_ms */
void world_crash(int worker, int down_ms);
/** world_go_dark() - the same, and nothing answers meanwhile, nor resets */
void world_go_dark(int worker, int down_ms);
bool world_worker_is_up(int worker);
/** world_shrink() - change the processors of a worker that goes on running */
void world_shrink(int worker, int cpu);
int world_worker_capacity(int worker);
/** world_worker_cpu() - what the runs of a worker use */
int64_t world_worker_cpu(int worker);
/** world_store_is_down() - the store gives no answer for @ms */
void world_store_is_down(int ms);
/** world_has_saved() - whether a run of @task has saved @checkpoint */
bool world_has_saved(const char *task, const char *checkpoint);
/** world_owner() - the host that owns the cell, -1: none yet */
int world_owner(void);
/** world_silence() - make the open channels of a host to the store silent */
void world_silence(int host);
json_t *world_route(const char *name, const char *prefix, int priority,
		    int attempts);
json_t *world_tenant(const char *name, int weight, const char *key, int cpu);
/** world_configure() - write a configuration, as the operator does */
void world_configure(json_t *routes, json_t *tenants);

#endif

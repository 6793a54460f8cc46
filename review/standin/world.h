#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/**
 * DOC: A small deployment for the cases of the review
 *
 * One process is the platform's store, the workers, the operator and the
 * clients. It starts the hosts as child processes, with the command of the
 * deploy file. A case is a function that runs the event loop while it waits.
 *
 * Times are in milliseconds of the monotonic clock.
 */

#define WORLD_HOSTS_MAX 6
#define WORLD_WORKERS 48
#define WORLD_NAME_MAX 96
#define WORLD_TEXT_MAX 256

/**
 * struct world_options - what a case needs of the deployment
 * @hosts: number of hosts
 * @millicpus: processors of each worker, in thousandths
 * @memory_mb: memory of each worker
 * @rare_workers: number of workers, the first ones, that have the label "b";
 *	the others have "a"
 */
struct world_options {
	int hosts;
	uint32_t millicpus;
	uint32_t memory_mb;
	int rare_workers;
};

/**
 * struct world_start - a start that a worker has carried out
 * @task: name of the work item
 * @attempt: number of the run
 * @worker: index of the worker
 * @at: when
 * @ended_at: when the run ended; 0: it has not
 * @outcome: how the run ended, as on the wire,
 * @noted: it ended as done, and a host has acknowledged that before the lease
 *	of the worker lapsed
 */
struct world_start {
	char task[WORLD_NAME_MAX];
	int64_t attempt;
	int worker;
	int64_t at;
	int64_t ended_at;
	const char *outcome;
	bool noted;
};

/** world_now_ms() - current time */
int64_t world_now_ms(void);
/** world_record() - write a line to the record, with the time */
void world_record(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
/** world_begin() - start the store, the workers and the hosts, and wait */
int world_begin(const struct world_options *options, json_t *config,
		const char *work_dir, const char *program);
/** world_end() - end all hosts */
void world_end(void);
/** world_run() - run the event loop for some time */
void world_run(int64_t ms);
/** world_kill_host() - SIGKILL; the host is started again after @down_ms */
void world_kill_host(int host, int64_t down_ms);
/** world_pause_host() - freeze a host */
void world_pause_host(int host);
/** world_resume_host() - let it go on */
void world_resume_host(int host);
/** world_hosts() - number of hosts */
int world_hosts(void);
/** world_host_runs() - whether a host runs and is not frozen */
bool world_host_runs(int host);
/** world_crashes() - how often hosts have ended that were not killed */
int world_crashes(void);
/** world_owner() - index of the host that owns the cell; -1: none */
int world_owner(void);
/** world_put_config() - the operator writes a configuration, taken over */
void world_put_config(json_t *config);
/**
 * world_call() - call a host as a client, and wait for the response
 * @host: index of the host
 * @method: HTTP method
 * @path: path
 * @key: API key
 * @body: body, taken over; NULL: none
 * @out: receives the body of the response, cut off if need be; or NULL
 *
 * Return: HTTP status; 0: no response.
 */
int world_call(int host, const char *method, const char *path, const char *key,
	       json_t *body, char out[WORLD_TEXT_MAX]);

/** world_post() - the same for a POST, without waiting; frees @body */
void world_post(int host, const char *path, const char *key, json_t *body);

/* workers.c */
/** workers_begin() - start and register the workers */
int workers_begin(const struct world_options *options, int port);
/** workers_tick() - do what is due on the workers */
void workers_tick(void);
/** workers_fail_attempt() - runs with this number fail soon after their start
 */
void workers_fail_attempt(int64_t attempt);
/** workers_starts() - all starts so far */
const struct world_start *workers_starts(size_t *out_count);

/* cases.c */
/** case_run() - run a case. Return: 0: the rule held; 1: broken; 2: error */
int case_run(const char *name, bool trouble, const char *work_dir,
	     const char *program);

#endif

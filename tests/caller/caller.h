#ifndef CALLER_H
#define CALLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "net/http_client.h"
#include "zinniarack/job.h"

/**
 * DOC: Client for tests and the demo
 *
 * Submits the jobs and short requests of a plan to entry daemons in round-robin
 * order. Submits a job again until it has a definite answer, waits for the end
 * of every accepted job, and compares the answers with the ledger, the file in
 * which the worker stand-in logs the tasks that it ran. A line of a plan is one
 * of:
 *
 *	job TEAM QUEUE KIND NAME COUNT TASKS CPUS MEMORY_MB FLAGS COMMAND...
 *	request TEAM SERVICE COUNT INTERVAL_MS
 *
 * The first submits COUNT jobs with TASKS tasks each, the second sends COUNT
 * short requests to a service, one each INTERVAL_MS. FLAGS is `-` or a
 * comma-separated list of `urgent` and `once`.
 *
 * Points in time are milliseconds of the monotonic clock, which the worker
 * stand-in on the same machine shares.
 */

#define CALLER_ENTRIES_MAX 32
#define CALLER_TEAMS_MAX 32
#define CALLER_LINE_MAX 512

/**
 * struct caller_team - a team on whose behalf jobs are submitted
 * @name: name of the team
 * @key: its API key
 * @share: its configured share of the processors, relative to other teams'
 */
struct caller_team {
	char name[ZR_NAME_MAX];
	char key[256];
	uint32_t share;
};

/**
 * enum caller_job_state - what the answers say about a job
 * @CALLER_JOB_UNSENT: not submitted yet
 * @CALLER_JOB_SENT: submitted, without a definite answer so far
 * @CALLER_JOB_REFUSED: definitely refused
 * @CALLER_JOB_ACCEPTED: accepted, has not ended
 * @CALLER_JOB_ENDED: succeeded, failed or cancelled
 */
enum caller_job_state {
	CALLER_JOB_UNSENT,
	CALLER_JOB_SENT,
	CALLER_JOB_REFUSED,
	CALLER_JOB_ACCEPTED,
	CALLER_JOB_ENDED,
};

/**
 * struct caller_job - a job of the plan
 * @team: index of its team
 * @body: body of the submission, as JSON
 * @kind: kind of the job
 * @millicpus: processors of one task
 * @urgent: whether it was submitted as urgent
 * @state: its state according to the answers
 * @submit_count: number of times that it was submitted
 * @id: its id once accepted, otherwise empty
 * @final_state: the last state that an entry daemon reported
 * @sent_ms: when it was submitted first
 * @first_start_ms: when its first task started according to the ledger, or -1
 * @starts: number of task starts according to the ledger
 * @repeated_tasks: according to the ledger, number of runs to the end beyond
 *	the first one of each task
 */
struct caller_job {
	size_t team;
	char *body;
	enum zr_job_kind kind;
	uint32_t millicpus;
	bool urgent;
	enum caller_job_state state;
	unsigned int submit_count;
	char id[ZR_JOB_ID_MAX];
	char final_state[ZR_NAME_MAX];
	int64_t sent_ms;
	int64_t first_start_ms;
	unsigned int starts;
	unsigned int repeated_tasks;
};

/**
 * struct caller_request_series - short requests to a service, from one line
 * @team: index of the team that sends them
 * @service: name of the service
 * @count: number of requests
 * @interval_ms: time between two requests
 * @is_ready: whether the service has answered a probe; requests count only
 *	from then on
 * @sent: number of requests sent
 * @answered: number answered with the right body
 * @not_run: number that definitely did not run
 * @unknown: number that may have run
 * @wrong: number answered with another body
 * @waits_ms: time until the answer for each of @answered
 */
struct caller_request_series {
	size_t team;
	char service[ZR_NAME_MAX];
	unsigned int count;
	unsigned int interval_ms;
	bool is_ready;
	unsigned int sent;
	unsigned int answered;
	unsigned int not_run;
	unsigned int unknown;
	unsigned int wrong;
	int64_t *waits_ms;
	uv_timer_t timer;
	struct caller *caller;
};

/**
 * struct caller - state of the client
 * @entries: connections to the entry daemons for jobs
 * @request_entries: connections to the entry daemons for short requests
 * @next_entry: counts the calls to choose the entry daemons in turn
 * @next_job: index of the next job to submit
 * @unfinished_jobs: number of jobs that have neither ended nor been refused nor
 *	been given up
 * @series: the `request` lines of the plan
 * @open_series: number of series that have requests without an outcome
 * @submit_timer: submits the next job
 * @timeout_timer: limits the duration of the whole run
 */
struct caller {
	uv_loop_t *loop;
	struct zr_http_client *entries[CALLER_ENTRIES_MAX];
	/*
	 * Separate connections, so that requests don't queue behind calls that
	 * wait for the end of a job.
	 */
	struct zr_http_client *request_entries[CALLER_ENTRIES_MAX];
	size_t entry_count;
	size_t next_entry;
	struct caller_team teams[CALLER_TEAMS_MAX];
	size_t team_count;
	struct caller_job *jobs;
	size_t job_count;
	size_t next_job;
	size_t unfinished_jobs;
	struct caller_request_series *series;
	size_t series_count;
	size_t open_series;
	uv_timer_t submit_timer;
	uv_timer_t timeout_timer;
	bool timed_out;
};

/* plan.c */
/** caller_read_plan() - read a plan; returns 0, or -1 if it is invalid */
int caller_read_plan(struct caller *caller, const char *path);
/** caller_find_team() - index of a team; exits if it is unknown */
size_t caller_find_team(struct caller *caller, const char *name);

/* send.c */
/** caller_begin() - start to submit the plan; the loop stops at its end */
void caller_begin(struct caller *caller);

/* report.c */
/**
 * caller_read_ledger() - add the task starts and ends of the ledger to the jobs
 * @caller: the client
 * @path: path of the ledger
 *
 * Return: number of starts of a task while another run of it hadn't ended, or
 * -1 if the ledger can't be read.
 */
int caller_read_ledger(struct caller *caller, const char *path);
/**
 * caller_report() - print the results
 * @caller: the client
 * @ledger: path of the ledger, for the processor time of the teams
 *
 * Return: 0 if every accepted job ended and no task ran to its end twice, every
 * submission had a definite answer and no request a wrong one; otherwise 1.
 */
int caller_report(const struct caller *caller, const char *ledger);

/** caller_now_ms() - current time of the monotonic clock, in milliseconds */
int64_t caller_now_ms(void);

#endif

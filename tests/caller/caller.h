#ifndef CALLER_H
#define CALLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "net/http_client.h"
#include "zinniarack/job.h"

/**
 * DOC: A caller for tests and the demo
 *
 * Sends the work of a plan to entry daemons in turn, tries again as the answers
 * allow, waits for every accepted job, and compares what it was told with the
 * ledger of the worker stand-in. A line of a plan is one of
 *
 *	job TEAM QUEUE KIND NAME COUNT TASKS CPUS MEMORY_MB FLAGS COMMAND...
 *	request TEAM SERVICE COUNT INTERVAL_MS
 *
 * FLAGS is `-` or a list of `urgent`, `once`, joined by commas.
 */

#define CALLER_ENTRIES_MAX 32
#define CALLER_TEAMS_MAX 32
#define CALLER_LINE_MAX 512

struct caller_team {
	char name[ZR_NAME_MAX];
	char key[256];
	uint32_t share;
};

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
 * @body: what is submitted
 * @kind: its kind
 * @millicpus: processors of one task
 * @urgent: whether it is urgent
 * @state: where it stands, as this caller was told
 * @tries: how often it was submitted
 * @id: its id once accepted
 * @final: the state in which it ended
 * @sent_ms: monotonic time of the first try
 * @first_start_ms: when its first task started, by the ledger
 * @starts: tasks started, by the ledger
 * @twice: tasks that ran to their end more than once, by the ledger
 */
struct caller_job {
	size_t team;
	char *body;
	enum zr_job_kind kind;
	uint32_t millicpus;
	bool urgent;
	enum caller_job_state state;
	unsigned int tries;
	char id[ZR_JOB_ID_MAX];
	char final[ZR_NAME_MAX];
	int64_t sent_ms;
	int64_t first_start_ms;
	unsigned int starts;
	unsigned int twice;
};

struct caller_requests {
	size_t team;
	char service[ZR_NAME_MAX];
	unsigned int count;
	unsigned int interval_ms;
	bool ready;
	unsigned int sent;
	unsigned int answered;
	unsigned int not_run;
	unsigned int unknown;
	unsigned int wrong;
	int64_t *waits_ms;
	uv_timer_t timer;
	struct caller *caller;
};

struct caller {
	uv_loop_t *loop;
	struct zr_http_client *entries[CALLER_ENTRIES_MAX];
	/* Apart, so that requests do not wait behind reads that wait. */
	struct zr_http_client *request_entries[CALLER_ENTRIES_MAX];
	size_t entry_count;
	size_t next_entry;
	struct caller_team teams[CALLER_TEAMS_MAX];
	size_t team_count;
	struct caller_job *jobs;
	size_t job_count;
	size_t next_job;
	size_t unsettled;
	struct caller_requests *requests;
	size_t request_lines;
	size_t requests_open;
	uv_timer_t pace;
	uv_timer_t limit;
	bool timed_out;
};

/* plan.c */
int caller_read_plan(struct caller *caller, const char *path);
size_t caller_find_team(struct caller *caller, const char *name);

/* send.c */
void caller_begin(struct caller *caller);

/* report.c */
int caller_read_ledger(struct caller *caller, const char *path);
int caller_report(const struct caller *caller, const char *ledger);

int64_t caller_now_ms(void);

#endif

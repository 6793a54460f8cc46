#ifndef ZINNIARACK_CHARTS_H
#define ZINNIARACK_CHARTS_H

#include "zinniarack/chart.h"

/**
 * DOC: State charts of the daemons
 *
 * Enumerations of the states and events of each chart in charts/, in the order
 * in which charts.c binds them to the names in the YAML files.
 */

/**
 * enum zr_ownership_state - a scheduler and the ownership of its failure
 * domain; see charts/ownership.yaml
 * @ZR_OWNERSHIP_STANDBY: another scheduler may be the owner
 * @ZR_OWNERSHIP_CAMPAIGNING: tries to become the owner
 * @ZR_OWNERSHIP_OWNING: is the owner
 * @ZR_OWNERSHIP_RELEASED: has stopped and never campaigns again
 */
enum zr_ownership_state {
	ZR_OWNERSHIP_STANDBY,
	ZR_OWNERSHIP_CAMPAIGNING,
	ZR_OWNERSHIP_OWNING,
	ZR_OWNERSHIP_RELEASED,
};

/**
 * enum zr_ownership_event - events of &enum zr_ownership_state
 * @ZR_OWNERSHIP_EVENT_VACANT: the failure domain has no owner
 * @ZR_OWNERSHIP_EVENT_WON: the campaign succeeded
 * @ZR_OWNERSHIP_EVENT_NOT_WON: the campaign failed
 * @ZR_OWNERSHIP_EVENT_LOST: the ownership ended
 * @ZR_OWNERSHIP_EVENT_RELEASE: the scheduler stops
 */
enum zr_ownership_event {
	ZR_OWNERSHIP_EVENT_VACANT,
	ZR_OWNERSHIP_EVENT_WON,
	ZR_OWNERSHIP_EVENT_NOT_WON,
	ZR_OWNERSHIP_EVENT_LOST,
	ZR_OWNERSHIP_EVENT_RELEASE,
};

/**
 * enum zr_worker_state - a worker as the active scheduler of its failure
 * domain sees it; see charts/worker.yaml
 * @ZR_WORKER_UNKNOWN: not yet responded in this term of ownership, or gone
 * @ZR_WORKER_UP: responds
 * @ZR_WORKER_LEAVING: responds but must get no new work
 * @ZR_WORKER_UNRESPONSIVE: has stopped responding; its lease may still run
 */
enum zr_worker_state {
	ZR_WORKER_UNKNOWN,
	ZR_WORKER_UP,
	ZR_WORKER_LEAVING,
	ZR_WORKER_UNRESPONSIVE,
};

/**
 * enum zr_worker_event - events of &enum zr_worker_state
 * @ZR_WORKER_EVENT_RESPONDED: it responded
 * @ZR_WORKER_EVENT_RESPONDED_LEAVING: it responded, and must get no new work
 * @ZR_WORKER_EVENT_UNRESPONSIVE: it failed to respond in time
 * @ZR_WORKER_EVENT_GONE: it restarted, or its last lease expired
 */
enum zr_worker_event {
	ZR_WORKER_EVENT_RESPONDED,
	ZR_WORKER_EVENT_RESPONDED_LEAVING,
	ZR_WORKER_EVENT_UNRESPONSIVE,
	ZR_WORKER_EVENT_GONE,
};

/**
 * enum zr_connection_state - a connection of the HTTP client's pool; see
 * charts/connection.yaml
 * @ZR_CONNECTION_OPENING: being established
 * @ZR_CONNECTION_IDLE: free for a request
 * @ZR_CONNECTION_BUSY: a request awaits its response
 * @ZR_CONNECTION_CLOSING: takes no further request
 */
enum zr_connection_state {
	ZR_CONNECTION_OPENING,
	ZR_CONNECTION_IDLE,
	ZR_CONNECTION_BUSY,
	ZR_CONNECTION_CLOSING,
};

/**
 * enum zr_connection_event - events of &enum zr_connection_state
 * @ZR_CONNECTION_EVENT_CONNECTED: the connection was established
 * @ZR_CONNECTION_EVENT_SENT: a request was sent
 * @ZR_CONNECTION_EVENT_RESPONDED: the response was received
 * @ZR_CONNECTION_EVENT_CLOSED: either end closed the connection
 */
enum zr_connection_event {
	ZR_CONNECTION_EVENT_CONNECTED,
	ZR_CONNECTION_EVENT_SENT,
	ZR_CONNECTION_EVENT_RESPONDED,
	ZR_CONNECTION_EVENT_CLOSED,
};

/**
 * enum zr_job_event - events of &enum zr_job_state; see charts/job.yaml
 * @ZR_JOB_EVENT_PLACED: a task of it was placed, or found running after a
 *	takeover
 * @ZR_JOB_EVENT_DISPLACED: none of its tasks runs any more
 * @ZR_JOB_EVENT_PARKED: it needs more than the workers have, or than its team's
 *	limit allows
 * @ZR_JOB_EVENT_UNPARKED: it can run after a change of workers or limits
 * @ZR_JOB_EVENT_SUCCEEDED: all of its tasks have ended with success
 * @ZR_JOB_EVENT_FAILED: it was abandoned, or memory ran out
 * @ZR_JOB_EVENT_CANCELLED: a caller or operator cancelled it
 */
enum zr_job_event {
	ZR_JOB_EVENT_PLACED,
	ZR_JOB_EVENT_DISPLACED,
	ZR_JOB_EVENT_PARKED,
	ZR_JOB_EVENT_UNPARKED,
	ZR_JOB_EVENT_SUCCEEDED,
	ZR_JOB_EVENT_FAILED,
	ZR_JOB_EVENT_CANCELLED,
};

/**
 * enum zr_task_state - a task as the active scheduler of a cell sees it; see
 * charts/task.yaml
 * @ZR_TASK_WAITING: not placed
 * @ZR_TASK_PLACED: resources are reserved; the placement is being persisted
 * @ZR_TASK_STARTING: the start request was sent
 * @ZR_TASK_RUNNING: the worker confirmed the run
 * @ZR_TASK_UNCONFIRMED: a start request has an unknown outcome or was sent by
 *	an earlier scheduler, so the run may exist or not
 * @ZR_TASK_STOPPING: a stop was requested
 * @ZR_TASK_DONE: ended, and will not run again
 */
enum zr_task_state {
	ZR_TASK_WAITING,
	ZR_TASK_PLACED,
	ZR_TASK_STARTING,
	ZR_TASK_RUNNING,
	ZR_TASK_UNCONFIRMED,
	ZR_TASK_STOPPING,
	ZR_TASK_DONE,
};

/**
 * enum zr_task_event - events of &enum zr_task_state
 * @ZR_TASK_EVENT_PLACED: a worker was chosen
 * @ZR_TASK_EVENT_SENT: the start request was sent
 * @ZR_TASK_EVENT_CONFIRMED: the worker accepted the start or reported the run
 * @ZR_TASK_EVENT_UNANSWERED: a start request ended with an unknown outcome
 * @ZR_TASK_EVENT_STOP: the run is to be stopped
 * @ZR_TASK_EVENT_FOUND: a placement of an earlier scheduler was loaded
 * @ZR_TASK_EVENT_GONE: the run ended or did not start; the task waits again
 * @ZR_TASK_EVENT_DONE: the task ended and will not run again
 */
enum zr_task_event {
	ZR_TASK_EVENT_PLACED,
	ZR_TASK_EVENT_SENT,
	ZR_TASK_EVENT_CONFIRMED,
	ZR_TASK_EVENT_UNANSWERED,
	ZR_TASK_EVENT_STOP,
	ZR_TASK_EVENT_FOUND,
	ZR_TASK_EVENT_GONE,
	ZR_TASK_EVENT_DONE,
};

/**
 * enum zr_task_bound - what bounds the time of a task in a state; see
 * charts/task.yaml
 * @ZR_TASK_BOUND_NONE: nothing; the next planning pass considers it
 * @ZR_TASK_BOUND_COMMIT: the time in which its placement has to be persisted
 * @ZR_TASK_BOUND_LEASE: the lease of its run
 */
enum zr_task_bound {
	ZR_TASK_BOUND_NONE,
	ZR_TASK_BOUND_COMMIT,
	ZR_TASK_BOUND_LEASE,
};

/**
 * struct zr_charts - the charts of a process, one for each kind of object
 * @ownership: transitions of &enum zr_ownership_state
 * @worker: transitions of &enum zr_worker_state
 * @connection: transitions of &enum zr_connection_state
 * @job: transitions of &enum zr_job_state
 * @task: transitions of &enum zr_task_state
 */
struct zr_charts {
	struct zr_chart *ownership;
	struct zr_chart *worker;
	struct zr_chart *connection;
	struct zr_chart *job;
	struct zr_chart *task;
};

/**
 * zr_charts_load() - read and check all charts
 * @out: the charts; free with zr_charts_clear()
 * @folder: folder of the YAML files
 *
 * Return: as zr_chart_load(); @out is empty on an error.
 */
int zr_charts_load(struct zr_charts *out, const char *folder);

/**
 * zr_charts() - return the charts that this process uses
 *
 * These come from the folder passed to zr_charts_use(), or else from the text
 * that the library was built with. They must not be replaced once a module has
 * called this function.
 */
const struct zr_charts *zr_charts(void);

/**
 * zr_charts_use() - make zr_charts() return the charts of a folder
 * @folder: folder of the YAML files
 *
 * To be called at start, before zr_charts().
 *
 * Return: as zr_chart_load(); zr_charts() is unchanged on an error.
 */
int zr_charts_use(const char *folder);

/** zr_charts_clear() - free all charts and set the pointers to NULL */
void zr_charts_clear(struct zr_charts *charts);

#endif

#ifndef ZINNIARACK_CHARTS_H
#define ZINNIARACK_CHARTS_H

#include "zinniarack/chart.h"

/**
 * DOC: The charts that the daemons interpret
 */

/** States of a failure domain's ownership; see charts/ownership.yaml. */
enum zr_ownership_state {
	ZR_OWNERSHIP_STANDBY,
	ZR_OWNERSHIP_CAMPAIGNING,
	ZR_OWNERSHIP_OWNING,
	ZR_OWNERSHIP_RELEASED,
};

enum zr_ownership_event {
	ZR_OWNERSHIP_EVENT_VACANT,
	ZR_OWNERSHIP_EVENT_WON,
	ZR_OWNERSHIP_EVENT_NOT_WON,
	ZR_OWNERSHIP_EVENT_LOST,
	ZR_OWNERSHIP_EVENT_RELEASE,
};

/** States of a worker; see charts/worker.yaml. */
enum zr_worker_state {
	ZR_WORKER_UNKNOWN,
	ZR_WORKER_UP,
	ZR_WORKER_LEAVING,
	ZR_WORKER_UNRESPONSIVE,
};

enum zr_worker_event {
	ZR_WORKER_EVENT_RESPONDED,
	ZR_WORKER_EVENT_RESPONDED_LEAVING,
	ZR_WORKER_EVENT_UNRESPONSIVE,
	ZR_WORKER_EVENT_GONE,
};

/** States of a pooled connection; see charts/connection.yaml. */
enum zr_connection_state {
	ZR_CONNECTION_OPENING,
	ZR_CONNECTION_IDLE,
	ZR_CONNECTION_BUSY,
	ZR_CONNECTION_CLOSING,
};

enum zr_connection_event {
	ZR_CONNECTION_EVENT_CONNECTED,
	ZR_CONNECTION_EVENT_SENT,
	ZR_CONNECTION_EVENT_RESPONDED,
	ZR_CONNECTION_EVENT_CLOSED,
};

/** Events of a job; its states are &enum zr_job_state; see charts/job.yaml. */
enum zr_job_event {
	ZR_JOB_EVENT_PLACED,
	ZR_JOB_EVENT_DISPLACED,
	ZR_JOB_EVENT_PARKED,
	ZR_JOB_EVENT_UNPARKED,
	ZR_JOB_EVENT_SUCCEEDED,
	ZR_JOB_EVENT_FAILED,
	ZR_JOB_EVENT_CANCELLED,
};

/** States of a task of a cell; see charts/task.yaml. */
enum zr_task_state {
	ZR_TASK_WAITING,
	ZR_TASK_PLACED,
	ZR_TASK_STARTING,
	ZR_TASK_RUNNING,
	ZR_TASK_UNCONFIRMED,
	ZR_TASK_STOPPING,
	ZR_TASK_DONE,
};

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
 * struct zr_charts - all charts of a process
 * @ownership: &enum zr_ownership_state by &enum zr_ownership_event
 * @worker: &enum zr_worker_state by &enum zr_worker_event
 * @connection: &enum zr_connection_state by &enum zr_connection_event
 * @job: &enum zr_job_state by &enum zr_job_event
 * @task: &enum zr_task_state by &enum zr_task_event
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
 * @out: the charts, to be cleared with zr_charts_clear()
 * @folder: where they are
 *
 * Return: as zr_chart_load().
 */
int zr_charts_load(struct zr_charts *out, const char *folder);

/**
 * zr_charts() - the charts in force in this process
 *
 * Those of the folder that zr_charts_use() was given, else those that the
 * library was built with. Read-only once the first module has asked.
 */
const struct zr_charts *zr_charts(void);

/**
 * zr_charts_use() - take the charts of a folder into force, at start
 * @folder: where they are
 *
 * Return: as zr_chart_load(); the charts in force stay on an error.
 */
int zr_charts_use(const char *folder);

/** zr_charts_clear() - free all charts */
void zr_charts_clear(struct zr_charts *charts);

#endif

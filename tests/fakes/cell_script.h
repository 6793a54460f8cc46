#ifndef CELL_SCRIPT_H
#define CELL_SCRIPT_H

#include <stdio.h>

/**
 * DOC: Scripted cell
 *
 * Runs the lines of a script against the schedulers of one cell, which share a
 * fake store, a fake adviser and fake workers. A line is a verb and its
 * arguments:
 *
 *   host NAME                  start a scheduler process that competes for the
 *                              cell; a NAME that was used before is a new
 *                              process of that host
 *   worker NAME MILLICPUS [DOMAIN]
 *                              register a worker, in that failure domain
 *   entry NAME FIELD VALUE     let another writer change FIELD of a worker's
 *                              registration (address, incarnation, clock or
 *                              capacity), without the worker
 *   heartbeat NAME             let a worker write its registration anew
 *   unregister NAME [HOST]     remove a worker's registration, through HOST or
 *                              as by the platform
 *   queue advised              from now on, tasks of the queue start only on
 *                              workers that the adviser has permitted
 *   queue plain                from now on, they need no permission
 *   jobs-plain                 jobs submitted from now on are of another queue,
 *                              which needs no permission
 *   remove-queue               remove the queues from the configuration, until
 *                              the next verb `queue`
 *   limit MILLICPUS            set the upper limit of the client account
 *   priority N                 set the priority of jobs submitted from now on
 *   latency-target MS          set their latency target
 *   client NAME                set the client account of jobs submitted from
 *                              now on
 *   past-use HALF_LIFE_S WEIGHT_PERCENT
 *                              set the past use of hosts started from now on
 *   used                       print the past use that an owner would load now
 *   submit HOST JOB STEP...    commit a job like an entry host, then notify
 *                              all schedulers of it. STEP is
 *                              [KIND,...]COUNTxMILLICPUS:MS[@STEP]. KIND is
 *                              gang, checkpoints, service=N: it is
 *                              long-running, and N tasks may be unavailable,
 *                              spread=N: at most N tasks run on one worker, or
 *                              label=KIND: they run on workers of that kind.
 *                              MS is the run time of a task, fMS that of a task
 *                              that fails, oMS that of a task whose first run
 *                              fails, tMS that of the tasks of a step
 *                              whose first one takes seven times as long, xMS
 *                              that of the tasks of a step
 *                              whose first one crashes its workers, @STEP the
 *                              index of the step that it depends on
 *   repeats COUNT FIRST_MS INTERVAL_MS
 *                              let jobs submitted from now on run COUNT times,
 *                              for the first time in FIRST_MS; 0: once, at once
 *   cancel HOST JOB            commit a cancellation like an entry host
 *   state HOST JOB             print the persisted state of a job
 *   query HOST JOB [CLIENT]    print the state that HOST's scheduler reports to
 *                              that client account
 *   waiting-jobs HOST          print the persisted number of waiting jobs
 *   told-jobs HOST             print the number that HOST's frontend would tell
 *   admission                  from now on, new hosts publish a summary of the
 *                              load
 *   weight N                   set the share of the client account, in jobs per
 *                              second
 *   load HOST                  print the published summary of the load
 *   recovery-reads             print the number of reads that owners have made
 *                              to load jobs and their progress
 *   adviser-queries            print the number of queries sent to the adviser
 *   owner                      print the host whose scheduler owns the cell
 *   advance MS                 advance the fake clock
 *   clock-resolution HOST MS   set the resolution of a host's monotonic clock
 *   size HOST MILLICPUS LARGEST
 *                              tell HOST its size, and that of the largest
 *                              other host that it has seen
 *   successor HOST MILLICPUS   set the size of the largest other host that is
 *                              registered
 *   suspect HOST yes|no        report to HOST that its connection to the store
 *                              is suspect
 *   settling HOST yes|no       report to HOST that it has just started
 *   link FROM TO pass|hold|drop|duplicate|refuse
 *                              set what happens to messages; `*` is any node;
 *                              refuse: the sender gets an error at once
 *   bandwidth FROM TO BYTES    limit the bytes per second that the store's
 *                              responses take on a link
 *   jobs HOST PREFIX COUNT STEP...
 *                              submit COUNT jobs, PREFIX0 and so on, one each
 *                              millisecond
 *   release FROM TO [reverse]  deliver the held messages, the last one first
 *                              with reverse
 *   pause NODE, resume NODE    suspend and continue a process
 *   kill HOST                  end a scheduler process without a shutdown
 *   stop HOST                  shut a scheduler down; prints when it has
 *                              released the cell
 *   restart WORKER [MILLICPUS REGISTERS_AFTER_MS]
 *                              start a new incarnation of a worker, with that
 *                              capacity, which writes its registration later
 *   replace WORKER             start another worker at its address
 *   tickets WORKER             let a worker refuse starts without the ticket of
 *                              the adviser
 *   ticket-bytes N             set the length of that ticket, for new permits
 *   unhealthy WORKER stops|polls|no
 *                              let a worker refuse all stops, or all polls
 *   crashes AFTER DOWN restarted|replaced
 *                              set after how many milliseconds a task crashes
 *                              its worker, for how long this is down, and
 *                              whether another worker uses its address then
 *   crashed-workers            print how many workers tasks have crashed
 *   hide-runs                  print violations, but no begins and ends of runs
 *   show-runs JOB              print the begins and ends of runs again, of JOB
 *                              or, if it is `*`, of all
 *   capacity WORKER MILLICPUS
 *                              change the capacity of a worker, which registers
 *                              the change
 *   leave WORKER MS            let a worker announce that it leaves, and leave
 *                              after this time with all its runs
 *   move-leaving               hosts started from now on move the runs of
 *                              leaving workers
 *   shrink-grace MS            set for how long a start need not fit a capacity
 *                              that has decreased
 *   late PERCENT SEED          let workers carry out PERCENT of the requests 2
 *                              to 12 s late, without a response
 *   gangs-wait                 let the members of a gang wait for each other
 *   wasted                     print the core-seconds of runs that did not end
 *                              as done
 *   metrics HOST PREFIX        print HOST's metrics whose name has that prefix
 *                              and that are not 0
 *   open-jobs                  print the number of jobs that have not ended
 *   stop-ms MS                 set the time from a stop until the run's end
 *   evacuation-ms MS           set the setting of the hosts started from now
 *                              on; 0 at first
 *   evacuate DOMAIN            request the evacuation of a failure domain, over
 *                              a connection of the operator to the store
 *   restore DOMAIN             withdraw the request
 *   forget-failed-runs JOB     store the progress of a job as earlier versions
 *                              do, without the failed runs of its gangs
 *   lose-history               make the store forget its history of changes
 *   requests unreadable|readable
 *                              let reads and watches of the requests to
 *                              evacuate fail, and no other call to the store
 *   metric HOST NAME           print a metric of a host
 *   worker-speed on|off        set whether hosts started from now on place
 *                              tasks by expected finish
 *   speed WORKER PERMILLE [KIND]
 *                              set the speed of a worker, also for active
 *                              runs, and its kind
 *   save-checkpoints [BYTES]   let runs save a checkpoint at each tenth, of
 * that length at least hang WORKER                stop the progress of its
 * tasks; the worker still responds
 *
 * Nodes are the hosts, the workers, "store" and "adviser". The fake workers
 * print `VIOLATION` when a task runs twice at once or starts again after its
 * end was confirmed, or when a worker is overloaded. It is also printed when a
 * task stays in a state for longer than fakes/cell_stays.h allows.
 */

struct cell_script;

/** cell_script_new() - create a cell without hosts; it prints to @out */
struct cell_script *cell_script_new(FILE *out);
void cell_script_free(struct cell_script *script);

/** cell_script_run() - run a line; exits the program if it is invalid */
void cell_script_run(struct cell_script *script, const char *line);

/** cell_script_check_jobs() - check that each failed job had a reason */
void cell_script_check_jobs(struct cell_script *script);

/** cell_script_violations() - number of violations printed so far */
unsigned int cell_script_violations(const struct cell_script *script);

/** cell_script_begun_runs() - number of runs that have begun on workers */
unsigned int cell_script_begun_runs(const struct cell_script *script);

/**
 * cell_script_used_runs() - number of runs in the past use that an owner would
 * load now
 */
unsigned int cell_script_used_runs(const struct cell_script *script);

/** cell_script_open_jobs() - number of accepted jobs that have not ended */
unsigned int cell_script_open_jobs(const struct cell_script *script);

#endif

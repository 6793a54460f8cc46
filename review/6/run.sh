#!/bin/sh
# A worker that has worked and is idle falls silent for good, as by a loss of
# power. A job comes before its entry is gone, and an item of it is sent there.
# The item has to run on another worker.
set -eu
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../standin-2/lib.sh"
job=d0a1b2c3d4e5f607

begin
put_config 7 "$(route r-print /print/)"
for i in 0 1 2
do
	start_host $i
done
for i in 0 1 2 3 4 5 6 7
do
	start_worker $i a 16000 32768
done
wait_ready

call POST /print/d0a1b2c3d4e5f600 '{"task_spec":"work=500 cpu=1000","steps":[{"count":8,"cpu":1000,"mem_mb":512,"estimate_ms":500,"anti_affinity":1}]}' |
	grep -q '^200' || cannot_run "the first job was not accepted"
sleep 6
call GET /print/d0a1b2c3d4e5f600 | grep -q completed ||
	cannot_run "the first job did not run on all workers"
if test "$trouble" = 1
then
	note "worker 0 falls silent, for good"
	kill -STOP "$(cat "$work/worker-0.pid")"
fi
# Eight items of which each takes more than half of a worker: one is sent to
# each worker.
call POST /print/$job '{"task_spec":"work=1000 cpu=9000","steps":[{"count":8,"cpu":9000,"mem_mb":512,"estimate_ms":1000}]}' |
	grep -q '^200' || cannot_run "the job was not accepted"
sleep 4.5
if test "$trouble" = 1
then
	note "the platform removes the entry of worker 0 after three check-in intervals"
	"$bin/client" DELETE "$(address 1)" /put/servers/i-worker-0 platform - \
		>/dev/null
fi
# Its lease is over after 6 s at most; 3 s later the item has to run.
sleep 20
at=1
state=$(call GET /print/$job)
done=$(cat "$work"/worker-*.log | grep -c " end $job.* done" || :)
case $state in
*completed*)
	finish 0 "held: all $done items of the job are done"
	;;
esac
finish 1 "LOST: 24 s after its acceptance $done of 8 items of the job are done and nothing of it runs, on 7 idle workers; it is shown as: $state"

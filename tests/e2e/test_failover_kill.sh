#!/bin/sh
# The active scheduler is killed when a job has just been accepted, while one is
# being committed, while tasks are started, and when tasks have just ended. Each
# accepted job must run once, and a submission that is repeated with its
# idempotency key must not create a second job.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
. "$cell_source/tests/failover.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
failover_start

kill_active () {
	killed_host=$(failover_active)
	killed_epoch=$(failover_epoch)
	kill -KILL "$(cell_pid "$killed_host.scheduler")"
}

restart_killed () {
	cell_spawn "$killed_host.scheduler" "$cell_build/zinniarack-schedulerd" \
		"$cell_dir/$killed_host.yaml"
}

# accept: killed as soon as the client has its answer
failover_accepted accept 500
kill_active
cell_until 20 failover_accepted accept 500
restart_killed

# commit: killed while a submission is in flight
cell_until 20 failover_has_new_owner "$killed_epoch"
failover_submit commit 300 >"$work/commit.out" &
kill_active
wait $!
cell_until 20 failover_accepted commit 300
restart_killed

# place: killed while starts are in flight, each of which must run once
cell_until 20 failover_has_new_owner "$killed_epoch"
for i in 1 2 3 4
do
	cell_until 20 failover_accepted "place-$i" 300 '"at_most_once":false,'
done
kill_active
restart_killed

# finish: killed when a task has just ended
cell_until 20 failover_has_new_owner "$killed_epoch"
for i in 1 2 3 4
do
	cell_until 20 failover_accepted "finish-$i" 400
done
ended () {
	grep -q "^end $id/" "$work/ledger"
}
cell_until 20 ended
kill_active
restart_killed
cell_until 20 failover_has_new_owner "$killed_epoch"
failover_check
echo "test_failover_kill: ok"

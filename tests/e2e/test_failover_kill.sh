#!/bin/sh
# The active scheduler is killed around acceptance, commit, placement and finish
# of jobs. Each accepted job runs once, and a request that is repeated with its
# key makes no second job.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
. "$cell_source/tests/failover.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
failover_start

kill_active () {
	active=$(failover_active)
	killed=$(failover_epoch)
	kill -KILL "$(cell_pid "$active.scheduler")"
}

revive () {
	cell_spawn "$active.scheduler" "$cell_build/zinniarack-schedulerd" \
		"$cell_dir/$active.yaml"
}

# accept: killed as soon as the caller has its answer
failover_accepted accept 500
kill_active
cell_until 20 failover_accepted accept 500
revive

# commit: killed while a submission is on its way
cell_until 20 failover_passed "$killed"
failover_submit commit 300 >"$work/commit.out" &
kill_active
wait $!
cell_until 20 failover_accepted commit 300
revive

# place: killed while starts that may run once only are on their way
cell_until 20 failover_passed "$killed"
for i in 1 2 3 4
do
	cell_until 20 failover_accepted "place-$i" 300 '"at_most_once":false,'
done
kill_active
revive

# finish: killed as the tasks end
cell_until 20 failover_passed "$killed"
for i in 1 2 3 4
do
	cell_until 20 failover_accepted "finish-$i" 400
done
ended () {
	grep -q "^end $id/" "$work/ledger"
}
cell_until 20 ended
kill_active
revive
cell_until 20 failover_passed "$killed"
failover_check
echo "test_failover_kill: ok"

#!/bin/sh
# The active scheduler is stopped while it accepts and places, another takes
# over, and it goes on. What it then sends has no effect; each job runs once.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
. "$cell_source/tests/failover.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
failover_start

for round in 1 2
do
	stopped=$(failover_active)
	before=$(failover_epoch)
	cell_until 20 failover_accepted "long-$round" 6000
	failover_submit "cut-$round" 200 >"$work/cut.out" &
	submitting=$!
	kill -STOP "$(cell_pid "$stopped.scheduler")"
	cell_until 20 failover_passed "$before"
	cell_until 20 failover_accepted "cut-$round" 200
	kill -CONT "$(cell_pid "$stopped.scheduler")"
	wait "$submitting"
	cell_until 20 failover_accepted "after-$round" 200
	cell_until 20 cell_active_domains 1
done
failover_check
echo "test_failover_pause: ok"

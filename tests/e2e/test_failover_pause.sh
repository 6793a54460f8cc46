#!/bin/sh
# The active scheduler is paused while it accepts and places jobs, and resumed
# after a takeover. What the former owner sends then must have no effect: each
# job must run once.
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
	paused=$(failover_active)
	paused_epoch=$(failover_epoch)
	cell_until 20 failover_accepted "long-$round" 6000
	failover_submit "cut-$round" 200 >"$work/cut.out" &
	submitting=$!
	kill -STOP "$(cell_pid "$paused.scheduler")"
	cell_until 20 failover_has_new_owner "$paused_epoch"
	cell_until 20 failover_accepted "cut-$round" 200
	kill -CONT "$(cell_pid "$paused.scheduler")"
	wait "$submitting"
	cell_until 20 failover_accepted "after-$round" 200
	cell_until 20 cell_active_domains 1
done
failover_check
echo "test_failover_pause: ok"

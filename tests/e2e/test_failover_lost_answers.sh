#!/bin/sh
# The store applies transactions but doesn't answer them, and the active
# scheduler is killed before it has found out their outcome. Each job must run
# once.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
. "$cell_source/tests/failover.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
failover_start

drop_answers () {
	curl -sf -X POST "http://$(cell_port 1)/fault?lose=$1" >"$work/fault.out"
}

# The scheduler finds out the outcome by reading the store.
for i in 1 2 3
do
	drop_answers 2
	cell_until 20 failover_accepted "lost-$i" 200
done

# The scheduler is killed before it has read the store.
drop_answers 4
failover_submit killed 300 >"$work/killed.out" &
submitting=$!
is_answer_lost () {
	test "$(curl -sf "http://$(cell_port 1)/fault/left")" -lt 4
}
cell_until 20 is_answer_lost
active=$(failover_active)
kill -KILL "$(cell_pid "$active.scheduler")"
wait "$submitting"
drop_answers 0
cell_until 20 failover_accepted killed 300
failover_check
echo "test_failover_lost_answers: ok"

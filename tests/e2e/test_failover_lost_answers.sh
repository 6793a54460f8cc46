#!/bin/sh
# The store loses answers after their effect, and the active scheduler is killed
# while it does not know: two faults together. Each job runs once.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
. "$cell_source/tests/failover.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
failover_start

lose () {
	curl -sf -X POST "http://$(cell_port 1)/fault?lose=$1" >"$work/fault.out"
}

# The scheduler settles them by reading back.
for i in 1 2 3
do
	lose 2
	cell_until 20 failover_accepted "lost-$i" 200
done

# It is killed before it could.
lose 4
failover_submit killed 300 >"$work/killed.out" &
submitting=$!
sent () {
	test "$(curl -sf "http://$(cell_port 1)/fault/left")" -lt 4
}
cell_until 20 sent
active=$(failover_active)
kill -KILL "$(cell_pid "$active.scheduler")"
wait "$submitting"
lose 0
cell_until 20 failover_accepted killed 300
failover_check
echo "test_failover_lost_answers: ok"

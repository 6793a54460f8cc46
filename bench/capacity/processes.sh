#!/bin/sh
# Measures memory and processor time of the real daemons by the number of workers
# in a domain, with two entry hosts, stand-ins for the platform and the workers,
# and no jobs. Prints a line for each daemon: number of workers, name, resident
# memory in kB, processor time over MEASURE_S seconds in percent of a core.
# Usage: bench/capacity/processes.sh [WORKERS...]; ZR_PORT is the lowest port.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
MEASURE_S=8
ticks=$(getconf CLK_TCK)

resident_kb () {
	awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}

cpu_ticks () {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

measure () {
	work=$(mktemp -d)
	cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
	trap 'cell_stop; rm -rf "$work"' EXIT
	cell_add_entry sapporo
	cell_add_entry sapporo
	i=0
	while test $i -lt "$1"
	do
		cell_add_worker sapporo "r$(($i / 8))" 30000 130000 1
		i=$(($i + 1))
	done
	cell_start_platform
	cell_start_host sapporo-1
	cell_entry=$(cell_port 110)
	cell_until 15 cell_active_domains 1
	cell_start_host sapporo-2
	sleep 4
	daemons="sapporo-1.scheduler sapporo-2.scheduler sapporo-1.entry"
	for daemon in $daemons
	do
		cpu_ticks "$(cell_pid "$daemon")" >"$work/$daemon.before"
	done
	sleep $MEASURE_S
	for daemon in $daemons
	do
		pid=$(cell_pid "$daemon")
		used=$(($(cpu_ticks "$pid") - $(cat "$work/$daemon.before")))
		echo "$1 $daemon $(resident_kb "$pid") kB" \
			"$(awk "BEGIN { print 100 * $used / $ticks / $MEASURE_S }") %"
	done
	cell_stop
	trap - EXIT
	rm -rf "$work"
}

test $# -gt 0 || set -- 25 50 100 200
for workers in "$@"
do
	measure "$workers"
done

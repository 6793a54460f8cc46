#!/bin/sh
# Prints the peak of memory of zinniarack-celld over the number of connections,
# for crowds of standin-crowd. The daemon has no limits here.
#
# usage: measure.sh [MODE...], by default all modes
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)

# measure MODE CONNECTIONS: print a line of the table
measure () (
	. "$hostile_source/tests/hostile.sh"
	HOSTILE_ADDRESS_SPACE_KIB=unlimited
	HOSTILE_DESCRIPTORS_MAX=1024
	hostile_start_cell
	target=$hostile_callers$hostile_path
	test "$1" != records || target=$hostile_peers
	hostile_spawn crowd "$hostile_build/standin-crowd" --stay --mode "$1" \
		--connections "$2" "$target"
	until grep -q -s '^ready' "$hostile_work/crowd.log"
	do
		hostile_check_alive "while the crowd sends"
		sleep 0.1
	done
	printf '%-14s %11d %10d  %s\n' "$1" "$2" \
		"$(awk '/^VmHWM/ { print $2 }' "/proc/$hostile_pid/status")" \
		"$(grep -o 'closed_by_server=.*' "$hostile_work/crowd.log" | head -n 1)"
)

test $# -gt 0 || set -- announced sent at-once pieces large-chunks small-chunks \
	headers open-headers unread records idle
printf '%-14s %11s %10s\n' mode connections "VmHWM KiB"
for mode in "$@"
do
	for connections in 1 12 48 96 192
	do
		measure "$mode" "$connections"
	done
done

#!/bin/sh
# Out of memory: large bodies, headers and records to all listeners of
# zinniarack-celld, which share the memory of the process.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_cell
hostile_run "at-once=$hostile_callers$hostile_path" \
	"open-headers=$hostile_callers$hostile_path" \
	"at-once=$hostile_readiness/-/readiness" \
	"at-once=$hostile_metrics/metrics" "records=$hostile_peers"
echo "ok"

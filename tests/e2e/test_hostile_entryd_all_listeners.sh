#!/bin/sh
# Out of memory: large bodies, announced or in chunks, headers and records to
# all listeners of zinniarack-entryd.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_entry
hostile_run "announced=$hostile_http$hostile_path" \
	"sent=$hostile_http$hostile_path" \
	"large-chunks=$hostile_http$hostile_path" \
	"open-headers=$hostile_http$hostile_path" "records=$hostile_rpc"
echo "ok"

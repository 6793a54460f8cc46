#!/bin/sh
# Out of memory: pipelined requests whose replies are never read.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_cell
hostile_run --mode unread "$hostile_callers$hostile_path"
echo "ok"

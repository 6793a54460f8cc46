#!/bin/sh
# Out of memory: request headers over the limit of the server.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_cell
hostile_run --mode headers "$hostile_callers$hostile_path"
echo "ok"

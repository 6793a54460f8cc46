#!/bin/sh
# Out of descriptors: more idle connections than the limit of the process.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
HOSTILE_CONNECTIONS=300
hostile_start_cell
hostile_run --mode idle --reconnect 0 "$hostile_callers"
echo "ok"

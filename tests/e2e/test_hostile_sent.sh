#!/bin/sh
# Out of memory: bodies over the limit, sent to zinniarack-celld in chunks.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_cell
hostile_run --mode sent "$hostile_callers$hostile_path"
echo "ok"

#!/bin/sh
# Out of memory: bodies that announce 1 GiB to zinniarack-celld.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_cell
hostile_run --mode announced "$hostile_callers$hostile_path"
echo "ok"

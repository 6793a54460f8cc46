#!/bin/sh
# Out of memory: many bodies in tiny chunks, most stopping short of their end.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_cell
hostile_run --mode small-chunks "$hostile_callers$hostile_path"
echo "ok"

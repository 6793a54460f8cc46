#!/bin/sh
# Out of memory: many large bodies at once to zinniarack-schedulerd, most
# stopping short of their end.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_scheduler
hostile_run --mode at-once "$hostile_http$hostile_path"
echo "ok"

#!/bin/sh
# Cut off: idle connections take the descriptors that zinniarack-celld needs to
# connect to its store again after an outage.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_cell
hostile_end_platform
hostile_spawn crowd "$hostile_build/standin-crowd" --stay --mode idle --reconnect 20 \
	--connections 300 "$hostile_callers"
until grep -q '^ready' "$hostile_work/crowd.log"
do
	hostile_check_alive "while the crowd connects"
	sleep 0.1
done
hostile_check_resources "when the crowd has connected"
hostile_spawn_platform
hostile_wait_answer "after the outage of the store"
hostile_check_resources "after the outage of the store"
echo "ok"

#!/bin/sh
# A short soak test with a seed in which members of gangs fail together, see
# tests/soak/README.md. Guards against jobs that are shown as failed although
# they have attempts left, since a failed run of a gang was counted once for each
# member that failed.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
exec "$source/tests/soak/run.sh" 29 8

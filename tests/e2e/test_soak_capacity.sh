#!/bin/sh
# A short soak test with a seed in which the capacity of a worker changes and
# tasks crash their workers, see tests/soak/README.md.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
exec "$source/tests/soak/run.sh" 603 12

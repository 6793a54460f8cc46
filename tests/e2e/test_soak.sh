#!/bin/sh
# A short soak test with a fixed seed, see tests/soak/README.md.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
exec "$source/tests/soak/run.sh" 1 8

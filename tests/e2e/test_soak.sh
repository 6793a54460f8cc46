#!/bin/sh
# A short soak with a fixed seed; tests/soak/run.sh tells what it does.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
exec "$source/tests/soak/run.sh" 1 8

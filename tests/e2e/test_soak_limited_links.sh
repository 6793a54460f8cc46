#!/bin/sh
# A short soak test with links of 10 Mbit/s, see tests/soak/README.md. Guards
# against hosts that never serve again once the configuration is so large that
# their link needs longer for it than a read may take.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
ZR_MBPS=10 exec "$source/tests/soak/run.sh" 2 12

#!/bin/sh
# Out of memory: large ONC RPC records to zinniarack-entryd, most stopping
# short of their end.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_entry
hostile_run --mode records "$hostile_rpc"
echo "ok"

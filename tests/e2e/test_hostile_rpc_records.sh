#!/bin/sh
# Out of memory: large ONC RPC records to the listener for peers, most stopping
# short of their end.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_cell
hostile_run --mode records "$hostile_peers"
echo "ok"

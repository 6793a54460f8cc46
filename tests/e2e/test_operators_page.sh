#!/bin/sh
# Runs each `sh` code block of docs/OPERATIONS.md in order against a cell. Each
# must succeed.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
cell_add_entry sapporo
cell_add_entry sapporo
cell_add_worker sapporo r1 8000 16000 0
cell_add_worker sapporo r2 8000 16000 0
cell_start_platform
cell_start_hosts
cell_entry=$(cell_port 110)
ZINNIARACK_ENTRY=$cell_entry
PATH=$cell_build:$PATH
export ZINNIARACK_ENTRY PATH
mkdir "$work/folder" "$work/blocks"
cat >"$work/folder/10-base.yaml" <<-EOT
failure_domains:
  - name: sapporo
  - name: hakodate
    no_keys: true
teams:
  - name: booths
    share: 1
EOT
cell_until 10 cell_active_domains 1

awk -v work="$work/blocks" '
	/^```sh$/ { block = sprintf("%s/%02d.sh", work, ++count); next }
	/^```$/ { block = ""; next }
	block { print >block }' "$cell_source/docs/OPERATIONS.md"

cd "$work"
blocks=0
for block in blocks/*.sh
do
	sh -eu "$block" >block.out 2>&1 || {
		echo "$block failed:"
		cat "$block" block.out
		exit 1
	}
	blocks=$(($blocks + 1))
done
test "$blocks" -ge 10

# The effects of the commands that the page describes.
zinniarack teams | grep -q '^visa  *3  *1000 '
is_declared () {
	zinniarack --json jobs | grep -q '"name":"faces"'
}
cell_until 5 is_declared
zinniarack config history | grep -q 'cell-operator'
echo "test_operators_page: ok, $blocks blocks"

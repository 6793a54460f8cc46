#!/bin/sh
# The usual steps of a user: apply a configuration folder, create a key, submit
# a job, read its result, send a short request. Then a takeover.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=${ZR_WORK:-$(mktemp -d)}
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
cell_add_entry sapporo
cell_add_entry sapporo
cell_add_worker sapporo r1 30000 130000 0
cell_add_worker sapporo r2 30000 130000 1
cell_start_platform
cell_start_hosts
cell_entry=$(cell_port 110)
zr="$cell_build/zinniarack -e $cell_entry"

cell_until 10 cell_active_domains 1
cp "$cell_source"/examples/kitakaze/*.yaml "$work"
mkdir "$work/config"
cp "$cell_source"/examples/kitakaze/*.yaml "$work/config"
ZINNIARACK_KEY=$($zr key new k1 reprints "$work/config/30-key.yaml")
export ZINNIARACK_KEY
$zr config apply "$work/config"
cell_until 5 cell_config_version "$cell_entry" 1
cell_until 5 cell_schedulers_configured 1

submit () {
	printf '%s' "$1" | $zr submit - | sed 's/.*"id":"\([^"]*\)".*/\1/'
}

id=$(submit '{"name":"reprint","queue":"reprints","kind":"batch","cpus":1,
	"memory_mb":100,"command":"run 50 printed"}')
$zr job wait "$id" | grep '"state":"succeeded".*"result":"printed"'

service=$(submit '{"name":"faces","queue":"reprints","kind":"service",
	"tasks":2,"cpus":2,"command":"serve 5"}')
request_succeeds () {
	curl -sf -H "Authorization: Bearer $ZINNIARACK_KEY" -d 'a face' \
		"http://$cell_entry/v1/services/faces/requests" |
		grep -q 'a face'
}
cell_until 5 request_succeeds

# Kill the active scheduler while a job runs: the job completes and runs once.
slow=$(submit '{"name":"slow","queue":"reprints","kind":"batch","cpus":1,
	"command":"run 4000 late"}')
active=$($zr status | tr '{' '\n' | grep '"active":true' |
	sed 's/.*"name":"\([^"]*\)".*/\1/')
kill -KILL "$(cell_pid "$active.scheduler")"
has_new_owner () {
	$zr status | grep -q '"active":true,"epoch":2'
}
cell_until 10 has_new_owner
$zr job wait "$slow" | grep '"state":"succeeded".*"result":"late"'
test "$(grep -c "start $slow/" "$work/ledger")" -eq 1
test "$(grep -c "start $id/" "$work/ledger")" -eq 1
echo "test_path: ok"

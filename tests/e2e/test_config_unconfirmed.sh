#!/bin/sh
# API keys while the store is unreachable: they are accepted as long as every
# entry daemon responds, since the configuration can't have changed then. When
# one doesn't respond, requests are refused as not run, until it responds again.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
cell_add_entry sapporo
cell_add_entry hakodate
cell_add_worker sapporo r1 8000 16000 0
cell_start_platform
cell_start_hosts
cell_entry=$(cell_port 110)
zr="$cell_build/zinniarack -e $cell_entry"
mkdir "$work/config"
cp "$cell_source"/examples/kitakaze/*.yaml "$work/config"
cell_until 10 cell_active_domains 2
key=$($zr key new k1 reprints "$work/config/30-key.yaml")
$zr config apply "$work/config" >/dev/null

key_is_accepted () {
	curl -s -m 5 -H "Authorization: Bearer $key" \
		"http://$cell_entry/v1/jobs" >"$work/out"
	grep -q '"jobs":' "$work/out"
}
key_is_refused () {
	! key_is_accepted
	grep -q '"error":"stale_config".*"not_run":true' "$work/out"
}

cell_until 5 key_is_accepted
# Wait until this entry daemon knows all daemons that may accept a change.
sleep 3
kill -KILL "$(cell_pid platform)"
cell_spawn platform.hosts "$cell_build/standin-platform" \
	--store "$(cell_port 5)" --hosts "$(cell_port 2)" \
	--hosts-file "$cell_dir/hosts.json"
for second in 1 2 3 4 5 6 7 8
do
	sleep 1
	key_is_accepted || {
		echo "refused $second s after the store failed"
		cat "$work/out"
		exit 1
	}
done

kill -STOP "$(cell_pid hakodate-2.entry)"
cell_until 15 key_is_refused
kill -CONT "$(cell_pid hakodate-2.entry)"
cell_until 15 key_is_accepted
curl -s "http://$cell_entry/metrics" |
	grep '^zinniarack_entry_keys_unconfirmed_total [1-9]'
echo "test_config_unconfirmed: ok"

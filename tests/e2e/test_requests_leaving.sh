#!/bin/sh
# 2 s after the host list has marked a worker as leaving, the worker gets no
# more requests.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=${ZR_WORK:-$(mktemp -d)}
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
cell_add_entry sapporo
cell_add_worker sapporo r1 30000 130000 0
cell_add_worker sapporo r2 30000 130000 0
cell_start_platform
cell_start_hosts
cell_entry=$(cell_port 110)
zr="$cell_build/zinniarack -e $cell_entry"
cell_until 10 cell_active_domains 1
mkdir "$work/config"
cp "$cell_source"/examples/kitakaze/*.yaml "$work/config"
ZINNIARACK_KEY=$($zr key new k1 reprints "$work/config/30-key.yaml")
export ZINNIARACK_KEY
$zr config apply "$work/config"
# Two replicas, which don't fit on one worker together.
cell_until 10 sh -c "printf '%s' '{\"name\":\"faces\",\"queue\":\"reprints\",\"kind\":\"service\",
	\"tasks\":2,\"cpus\":20,\"command\":\"serve 5\"}' | $zr submit -"

send_requests () {
	for number in $(seq "$1")
	do
		curl -sf -o /dev/null -H "Authorization: Bearer $ZINNIARACK_KEY" \
			-d 'a face' "http://$cell_entry/v1/services/faces/requests" ||
			return 1
	done
}

served () {
	curl -s "http://$(cell_port $((400 + $1)))/v1/serving" |
		sed 's/.*"served": *\([0-9]*\).*/\1/'
}

both_workers_serve () {
	send_requests 10 && test "$(served 0)" -gt 0 -a "$(served 1)" -gt 0
}

cell_until 20 both_workers_serve
sed -i '/"name":"w1"/s/"kind"/"leaving":true,"kind"/' "$work/hosts.records"
cell_write_hosts
sleep 2
before=$(served 0)
other_before=$(served 1)
send_requests 60
test "$(served 0)" -eq "$before"
test "$(served 1)" -eq $(($other_before + 60))
echo "test_requests_leaving: ok"

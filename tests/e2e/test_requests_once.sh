#!/bin/sh
# A short request with an idempotency key runs at most once, whichever entry
# hosts it is repeated on. While the store is down, it is refused as not run.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=${ZR_WORK:-$(mktemp -d)}
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
cell_add_entry sapporo
cell_add_entry sapporo
cell_add_worker sapporo r1 30000 130000 0
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
for service in "prints:serve 5" "lost:serve 5 silent"
do
	cell_until 10 sh -c "printf '%s' '{\"name\":\"${service%%:*}\",\"queue\":\"reprints\",\"kind\":\"service\",
		\"tasks\":1,\"cpus\":2,\"command\":\"${service#*:}\"}' | $zr submit -"
done

# send_request HOST SERVICE KEY BODY: send a request with an idempotency key;
# print the answer and the HTTP status
send_request () {
	curl -s -m 10 -w ' %{http_code}\n' -H "Idempotency-Key: $3" \
		-H "Authorization: Bearer $ZINNIARACK_KEY" -d "$4" \
		"http://$(cell_port $((100 + 10 * $1)))/v1/services/$2/requests?timeout_ms=1500"
}

is_ready () {
	test "$(send_request "$1" prints "ready-$1-$(date +%N)" probe)" = 'probe 200'
}

served () {
	curl -s "http://$(cell_port 400)/v1/serving" |
		sed 's/.*"served": *\([0-9]*\).*/\1/'
}

cell_until 20 is_ready 1
cell_until 20 is_ready 2
before=$(served)
test "$(send_request 1 prints k1 'a photo')" = 'a photo 200'
sleep 0.5
test "$(send_request 2 prints k1 'a photo')" = 'a photo 200'
test "$(send_request 1 prints k1 'a photo')" = 'a photo 200'
test "$(served)" -eq $(($before + 1))
send_request 2 prints k1 'another photo' | grep '"error":"conflict".* 409'

# The worker accepts the request and never answers: it isn't run again.
send_request 1 lost k2 'a photo' | grep '"error":"outcome_unknown".*"not_run":false.* 502'
send_request 2 lost k2 'a photo' | grep '"error":"outcome_unknown".*"not_run":false.* 502'
test "$(served)" -eq $(($before + 2))

kill -KILL "$(cell_pid platform)"
send_request 2 prints k3 'a photo' | grep '"not_run":true.* 503'
test "$(served)" -eq $(($before + 2))
echo "test_requests_once: ok"

#!/bin/sh
# Entry hosts of two failure domains send more requests than a worker has slots,
# while the active scheduler and then an entry host are killed. The worker must
# never process more than its 8 slots allow, and each request must be answered
# completely or be refused as not run.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=${ZR_WORK:-$(mktemp -d)}
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
caller_pids=
trap 'touch "$work/stop"; wait_callers; cell_stop; rm -rf "$work"' EXIT

wait_callers () {
	for pid in $caller_pids
	do
		wait "$pid" || :
	done
	caller_pids=
}

cell_add_entry sapporo
cell_add_entry sapporo
cell_add_entry hakodate
cell_add_worker sapporo r1 30000 130000 0
cell_start_platform
cell_start_hosts
cell_entry=$(cell_port 110)
zr="$cell_build/zinniarack -e $cell_entry"
cell_until 10 cell_active_domains 2
mkdir "$work/config"
cp "$cell_source"/examples/kitakaze/*.yaml "$work/config"
ZINNIARACK_KEY=$($zr key new k1 reprints "$work/config/30-key.yaml")
export ZINNIARACK_KEY
$zr config apply "$work/config"
cell_until 10 sh -c "printf '%s' '{\"name\":\"faces\",\"queue\":\"reprints\",\"kind\":\"service\",
	\"tasks\":1,\"cpus\":2,\"command\":\"serve 100\"}' | $zr submit -"

# send_request HOST CALLER BODY: send a request once; print the HTTP status and
# write the answer to answer.CALLER
send_request () {
	curl -s -m 8 -o "$work/answer.$2" -w '%{http_code}' \
		-H "Authorization: Bearer $ZINNIARACK_KEY" -d "$3" \
		"http://$(cell_port $((100 + 10 * $1)))/v1/services/faces/requests?timeout_ms=1500"
}

# print_outcome CURL_ERROR HOST STATUS CALLER BODY: ok, refused (as not run),
# gone (its host was killed), or a description of the failure
print_outcome () {
	if test "$1" -ne 0
	then
		test -e "$work/killed.$2" && echo gone || echo "broken: curl $1"
	elif test "$3" = 200
	then
		test "$(cat "$work/answer.$4")" = "$5" && echo ok ||
			echo "wrong answer to $5"
	elif grep -q '"not_run":true' "$work/answer.$4"
	then
		echo refused
	else
		echo "status $3: $(cat "$work/answer.$4")"
	fi
}

run_caller () {
	number=0
	while ! test -e "$work/stop" -o -e "$work/killed.$1"
	do
		number=$(($number + 1))
		error=0
		status=$(send_request "$1" "$2" "face $2-$number") || error=$?
		print_outcome "$error" "$1" "$status" "$2" "face $2-$number"
	done >"$work/results.$2"
}

serves () {
	test "$(send_request "$1" "probe$1" probe)" = 200
}

for host in 1 2 3
do
	cell_until 20 serves $host
done
for caller in $(seq 18)
do
	run_caller $(($caller % 3 + 1)) "$caller" &
	caller_pids="$caller_pids $!"
done
sleep 3
active=$($zr status | tr '{' '\n' |
	grep '"domain":"sapporo".*"active":true' |
	sed 's/.*"name":"\([^"]*\)".*/\1/')
kill -KILL "$(cell_pid "$active.scheduler")"
ok_before=$(cat "$work"/results.* | grep -c '^ok$')
sleep 6
ok_after=$(cat "$work"/results.* | grep -c '^ok$')
touch "$work/killed.3"
kill -KILL "$(cell_pid hakodate-3.entry)"
sleep 4
touch "$work/stop"
wait_callers
sort "$work"/results.* | uniq -c | sort -rn | head -n 10
curl -s "http://$(cell_port 400)/v1/serving" | tee "$work/serving"
echo
grep -q '"most": *8[,}]' "$work/serving"
! cat "$work"/results.* | grep -q -v -e '^ok$' -e '^refused$' -e '^gone$'
# Requests were answered while the failure domain had no active scheduler.
test "$ok_after" -gt $(($ok_before + 50))
echo "test_requests_slots: ok"

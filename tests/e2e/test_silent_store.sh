#!/bin/sh
# All connections to the platform stop carrying data for good without being
# closed, twice: the failure domain has one owner at a time and accepts jobs
# again over new connections. Then the platform is cut off completely: running
# tasks continue, jobs that can't be persisted are refused as not run, and no
# accepted job is lost.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
cell_add_relay sohar
cell_add_entry sohar
cell_add_entry sohar
cell_add_worker sohar r1 16000 32000 0
cell_start_platform
cell_start_hosts
cell_entry=$(cell_port 110)
zr="$cell_build/zinniarack -e $cell_entry"
relay=$(cell_pid relay.sohar)

cell_until 10 cell_active_domains 1
mkdir "$work/config"
cp "$cell_source"/examples/majan/[12]*.yaml "$work/config"
# This cell has one failure domain, the home of every idempotency key.
sed -i '/name: muscat/d; /name: nizwa/d' "$work/config/10-teams.yaml"
ZINNIARACK_KEY=$($zr key new k1 claims "$work/config/30-key.yaml")
export ZINNIARACK_KEY
$zr config apply "$work/config"
cell_until 5 cell_schedulers_configured 1

print_job () {
	printf '{"name":"reclaim","queue":"reclaims","kind":"batch","cpus":1,"idempotency_key":"%s","command":"run %s done"}' \
		"$1" "$2"
}
submit_job () {
	print_job "$1" "$2" | $zr submit - | grep -o '"id":"[^"]*"' | cut -d'"' -f4
}
is_accepted () {
	id=$(submit_job "$1" 10) && test -n "$id"
}

for round in 1 2
do
	kill -USR1 "$relay"
	cell_until 20 is_accepted "silent-$round"
	$zr job wait "$id" | grep -q '"state":"succeeded"'
done

slow=$(submit_job slow 3000)
kill -USR2 "$relay"
print_job cut 10 | $zr submit - >"$work/refusal" || :
cat "$work/refusal"
# Without host list and store, the entry daemons can't confirm that the API key
# is still valid.
is_refused () {
	print_job "refused" 10 | $zr submit - |
		grep -q '"error":"stale_config".*"not_run":true'
}
cell_until 10 is_refused
kill -HUP "$relay"
cell_until 20 is_accepted cut
$zr job wait "$id" | grep -q '"state":"succeeded"'
slow_has_ended () {
	$zr job wait "$slow" | grep -q '"state":"succeeded"'
}
cell_until 20 slow_has_ended
for key in $(sed -n 's/^start \([^ ]*\)\/[0-9]* .*/\1/p' "$work/ledger" | sort |
	uniq -d)
do
	echo "started twice: $key"
	exit 1
done
echo "test_silent_store: ok"

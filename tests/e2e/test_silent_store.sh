#!/bin/sh
# Every connection to the platform goes silent for good, twice: the domain stays
# with one owner at a time and accepts work again over new connections. Then the
# platform is cut off whole: work that runs goes on, what cannot be kept is
# refused as not run, and nothing is lost.
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
# This cell has one failure domain, which is the home of every key.
sed -i '/name: muscat/d; /name: nizwa/d' "$work/config/10-teams.yaml"
ZINNIARACK_KEY=$($zr key new k1 claims "$work/config/30-key.yaml")
export ZINNIARACK_KEY
$zr config apply "$work/config"
cell_until 5 cell_schedulers_configured 1

job () {
	printf '{"name":"reclaim","queue":"reclaims","kind":"batch","cpus":1,"idempotency_key":"%s","command":"run %s done"}' \
		"$1" "$2"
}
submit () {
	job "$1" "$2" | $zr submit - | grep -o '"id":"[^"]*"' | cut -d'"' -f4
}
accepted () {
	id=$(submit "$1" 10) && test -n "$id"
}

for round in 1 2
do
	kill -USR1 "$relay"
	cell_until 20 accepted "silent-$round"
	$zr job wait "$id" | grep -q '"state":"succeeded"'
done

slow=$(submit slow 3000)
kill -USR2 "$relay"
job cut 10 | $zr submit - >"$work/refusal" || :
cat "$work/refusal"
# With host list and store unheard, nobody can tell that the key is in force.
refused () {
	job "refused" 10 | $zr submit - |
		grep -q '"error":"stale_config".*"not_run":true'
}
cell_until 10 refused
kill -HUP "$relay"
cell_until 20 accepted cut
$zr job wait "$id" | grep -q '"state":"succeeded"'
ended () {
	$zr job wait "$slow" | grep -q '"state":"succeeded"'
}
cell_until 20 ended
for key in $(sed -n 's/^start \([^ ]*\)\/[0-9]* .*/\1/p' "$work/ledger" | sort |
	uniq -d)
do
	echo "started twice: $key"
	exit 1
done
echo "test_silent_store: ok"

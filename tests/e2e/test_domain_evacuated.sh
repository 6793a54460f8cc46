#!/bin/sh
# Evacuation of one of two failure domains: what runs there ends there, new jobs
# and requests go to the other one or are refused as not run with the time to
# retry, a repeated submission still finds its job, and commands that are
# refused change nothing.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
cell_add_entry sapporo
cell_add_entry hakodate
cell_add_worker sapporo r1 8000 16000 0
cell_add_worker hakodate r1 8000 16000 0
cell_start_platform
cell_start_hosts
cell_entry=$(cell_port 110)
other=$(cell_port 120)
zr="$cell_build/zinniarack -e $cell_entry"
# Starts on hakodate's worker in the ledger.
w2_start="^start .* $(cell_port 401) "
folder=$work/config
mkdir "$folder"

# expect CODE COMMAND...: check the exit code of a command; its output is in out
expect () {
	expected_code=$1
	shift
	got=0
	"$@" >"$work/out" 2>&1 || got=$?
	test "$got" -eq "$expected_code" && return 0
	echo "exit code $got, expected $expected_code: $*"
	cat "$work/out"
	return 1
}

# expect_output TEXT: check that the last command of expect printed a text
expect_output () {
	grep -q -- "$1" "$work/out" && return 0
	echo "output lacks: $1"
	cat "$work/out"
	return 1
}

cat >"$folder/10-base.yaml" <<-EOT
failure_domains:
  - name: sapporo
  - name: hakodate
teams:
  - name: booths
    share: 1
queues:
  - name: any
jobs:
  - name: faces
    team: booths
    queue: any
    kind: service
    cpus: 0.5
    command: serve 5
    failure_domains: [sapporo, hakodate]
  - name: local
    team: booths
    queue: any
    kind: service
    cpus: 0.5
    command: serve 5
    failure_domains: [hakodate]
EOT
cell_until 10 cell_active_domains 2
expect 0 $zr config apply "$folder"
expect 0 $zr key grant booth1 booths "$folder"
booth=$(tail -n 1 "$work/out")
cell_until 5 cell_config_version "$other" 2

# submit NAME MS [KEY]: submit a batch job at hakodate's host; prints the
# response and its status
submit () {
	curl -s -D "$work/headers" -w '\n%{http_code}\n' \
		-H "Authorization: Bearer $booth" -d "{\"name\":\"$1\",
		\"queue\":\"any\",\"kind\":\"batch\",\"cpus\":1,
		${3:+\"idempotency_key\":\"$3\",}\"command\":\"run $2 x\"}" \
		"http://$other/v1/jobs"
}

# request SERVICE: send a short request at hakodate's host; prints the status
request () {
	curl -s -o "$work/answer" -D "$work/headers" -w '%{http_code}\n' \
		-H "Authorization: Bearer $booth" -d face \
		"http://$other/v1/services/$1/requests?timeout_ms=3000"
}

request_is () {
	test "$(request "$1")" -eq "$2"
}

served () {
	curl -s "http://$(cell_port $((400 + $1)))/v1/serving" |
		sed 's/.*"served": *\([0-9]*\).*/\1/'
}

cell_until 20 request_is faces 200
cell_until 20 request_is local 200

# The last version that was applied; a refused command leaves it as it is.
version () {
	$zr --json status | grep -o '^{[^[]*' | grep -o '"config_version":[0-9]*'
}

# Refused commands: unknown domain, not evacuated, invalid usage.
before=$(version)
expect 3 $zr domain evacuate otaru "$folder"
expect_output 'not_found: .otaru. is not a declared failure domain'
expect 3 $zr domain restore otaru
expect_output 'not_found: '
expect 1 $zr domain restore hakodate "$folder"
expect_output 'state: failure domain .hakodate. is not evacuated'
expect 2 $zr domain evacuate
expect 2 $zr domain hakodate
test "$(version)" = "$before"
test "$(ls "$folder" | wc -l)" -eq 2

# A key of which hakodate is the home, and a job with it.
number=0
until submit "keyed" 10 "key$number" | grep -q '"domain":"hakodate"'
do
	number=$(($number + 1))
	test $number -lt 40
done
submit "keyed" 10 "key$number" >"$work/first"
submit long 6000 | grep -q '"domain":"hakodate"'
grep -q '"id":"hakodate-' "$work/first"
cell_until 5 grep -q "$w2_start" "$work/ledger"

expect 0 $zr domain evacuate hakodate "$folder"
test -f "$folder/95-evacuated-hakodate.yaml"
is_evacuated () {
	$zr domains | grep -q '^hakodate .* yes  *[1-9] *$' &&
		$zr workers hakodate | grep -q '^w2 .* leaving ' &&
		cell_config_version "$other" 3 &&
		cell_schedulers_configured 3
}
cell_until 5 is_evacuated
$zr domains | grep -q '^sapporo .* no  *- *$'

# Evacuating twice, or all domains, is refused.
before=$(version)
expect 1 $zr domain evacuate hakodate "$folder"
expect_output 'exists: '
expect 1 $zr domain evacuate sapporo "$folder"
expect_output 'state: .sapporo. is the last failure domain'
test "$(version)" = "$before"
test "$(ls "$folder" | wc -l)" -eq 3

# New jobs go to the other domain. A key whose home is evacuated is refused,
# unless it is that of a job that was accepted.
starts=$(grep -c "$w2_start" "$work/ledger")
for i in 1 2 3
do
	submit "b$i" 10 | grep -q '"domain":"sapporo"'
done
submit "keyed" 10 "key$number" >"$work/out"
test "$(head -n 1 "$work/out")" = "$(head -n 1 "$work/first")"
refused=0
for i in 1 2 3 4 5 6 7 8 9 10 11 12
do
	submit "new" 10 "new$i" >"$work/out"
	grep -q '"domain":"sapporo"' "$work/out" && continue
	expect_output '"error":"evacuated".*"not_run":true'
	expect_output '^503$'
	grep -qi '^retry-after: 10' "$work/headers"
	refused=$(($refused + 1))
done
test $refused -gt 0

# Requests go to the other domain; for a service that runs only in the evacuated
# one they are refused with the time to retry. 2 s: as for a leaving worker.
sleep 2
before=$(served 1)
for i in 1 2 3 4 5 6 7 8 9 10
do
	test "$(request faces)" -eq 200
done
test "$(request local)" -eq 503
grep -q '"not_run":true' "$work/answer"
grep -qi '^retry-after: ' "$work/headers"
test "$(served 1)" -eq "$before"

# The job that ran there ends there; nothing was started there meanwhile, and
# the services continue to run.
long_has_ended () {
	$zr -k "$booth" --json job list | tr '{' '\n' |
		grep '"name":"long"' | grep -q '"state":"succeeded"'
}
cell_until 15 long_has_ended
test "$(grep -c "$w2_start" "$work/ledger")" -eq "$starts"
$zr domains | grep -q '^hakodate .* yes  *2 *$'

expect 0 $zr domain restore hakodate "$folder"
test ! -e "$folder/95-evacuated-hakodate.yaml"
is_restored () {
	submit again 10 | grep -q '"domain":"hakodate"'
}
cell_until 5 is_restored
cell_until 5 request_is local 200
grep -q 'domain.evacuated domain=hakodate' "$work/hakodate-2.scheduler.out" \
	"$work/hakodate-2.scheduler.log"

# Without the folder, only the applied configuration changes.
expect 0 $zr domain evacuate sapporo
cell_until 5 sh -c "$zr domains | grep -q '^sapporo .* yes  *[0-9] *$'"
expect 0 $zr domain restore sapporo
cell_until 5 sh -c "$zr domains | grep -q '^sapporo .* no  *- *$'"
echo "test_domain_evacuated: ok"

#!/bin/sh
# Invalid inputs of ten kinds: each gets an error of the right type, and the
# daemons keep running.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
cell_add_entry sapporo
cell_add_worker sapporo r1 8000 16000 0
cell_start_platform
cell_start_hosts
cell_entry=$(cell_port 110)
zr="$cell_build/zinniarack -e $cell_entry"
url=http://$cell_entry
mkdir "$work/config"
cp "$cell_source"/examples/kitakaze/*.yaml "$work/config"
cell_until 10 cell_active_domains 1
ZINNIARACK_KEY=$($zr key new k1 reprints "$work/config/30-key.yaml")
export ZINNIARACK_KEY
$zr config apply "$work/config" >/dev/null
cell_until 5 cell_config_version "$cell_entry" 1
cell_until 5 sh -c "$zr status | grep -q '\"active\":true,.*\"config_version\":1'"

alive () {
	kill -0 "$(cell_pid sapporo-1.entry)" &&
		kill -0 "$(cell_pid sapporo-1.scheduler)" &&
		curl -sf -o /dev/null "$url/v1/status"
}

# expect_error NAME STATUS ERROR CURL-ARGUMENT...: check the HTTP status and the
# error type of an answer
expect_error () {
	name=$1
	status=$2
	error=$3
	shift 3
	got=$(curl -s -m 30 -o "$work/out" -w '%{http_code}' "$@" || :)
	if test "$got" != "$status" ||
		! grep -q "\"error\":\"$error\"" "$work/out"
	then
		echo "$name: got status $got, expected $status $error"
		cat "$work/out"
		return 1
	fi
	alive || {
		echo "$name: a daemon has exited"
		return 1
	}
	echo "ok $name"
}

# expect_failure NAME CODE TEXT COMMAND...: check the exit code and the output
# of a command
expect_failure () {
	name=$1
	code=$2
	text=$3
	shift 3
	got=0
	"$@" >"$work/out" 2>&1 || got=$?
	if test "$got" -ne "$code" || ! grep -q -- "$text" "$work/out"
	then
		echo "$name: exit code $got, expected $code with '$text'"
		cat "$work/out"
		return 1
	fi
	alive || {
		echo "$name: a daemon has exited"
		return 1
	}
	echo "ok $name"
}

key="Authorization: Bearer $ZINNIARACK_KEY"
operator="Authorization: Bearer $ZINNIARACK_OPERATOR_KEY"
job='{"name":"a","queue":"reprints","kind":"batch","cpus":1,"command":"run 1 x"}'

# 1 invalid YAML, 2 unknown field, 3 two files that declare the same team
mkdir "$work/bad"
printf 'teams:\n  - name: [\n' >"$work/bad/10.yaml"
expect_failure bad_yaml 3 'bad/10.yaml:.*not YAML' $zr config apply "$work/bad"
expect_error bad_yaml_body 400 invalid -X PUT -H "$operator" \
	--data-binary @"$work/bad/10.yaml" "$url/v1/config?expected=1"
printf 'teams:\n  - name: a\n    shares: 1\n' >"$work/bad/10.yaml"
expect_failure unknown_field 3 "10.yaml:3: field 'teams\[\].shares': unknown" \
	$zr config apply "$work/bad"
expect_error unknown_field_of_job 400 invalid -H "$key" \
	-d '{"name":"a","colour":"red"}' "$url/v1/jobs"
printf 'teams:\n  - name: a\n    share: 1\n' >"$work/bad/10.yaml"
cp "$work/bad/10.yaml" "$work/bad/20.yaml"
expect_failure two_files 3 "20.yaml:2: teams 'a' is declared in .*10.yaml:2" \
	$zr config apply "$work/bad"

# 4 wrong key, no key, another team's queue, a team's key for an operator's call
expect_error wrong_key 401 unauthorized -H 'Authorization: Bearer k1.00' \
	-d "$job" "$url/v1/jobs"
expect_error no_key 401 unauthorized -d "$job" "$url/v1/jobs"
expect_error other_queue 403 forbidden -H "$key" -d \
	'{"name":"a","queue":"face-checks","kind":"batch","cpus":1,"command":"x"}' \
	"$url/v1/jobs"
expect_error no_operator 403 forbidden -X PUT -H "$key" -d 'policy: shares-first' \
	"$url/v1/config?expected=1"

# 5 a body of 10 MB
head -c 10485760 /dev/zero >"$work/large"
# The HTTP server refuses it with a status alone, before the daemon sees a
# request.
test "$(curl -s -m 30 -o /dev/null -w '%{http_code}' -H "$key" -H 'Expect:' \
	--data-binary @"$work/large" "$url/v1/jobs")" -eq 413
alive
echo "ok large_body"

# 6 a truncated request and one that isn't HTTP: the next request is served
printf 'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{"na' |
	timeout 3 curl -s "telnet://$cell_entry" >/dev/null 2>&1 || :
printf 'NOT HTTP AT ALL\r\n\r\n' |
	timeout 3 curl -s "telnet://$cell_entry" >/dev/null 2>&1 || :
expect_error after_truncated 400 invalid -H "$key" -d '{"na' "$url/v1/jobs"

# 7 unknown job, domain, queue and path, malformed id, reserved idempotency key
expect_error unknown_job 404 not_found -H "$key" "$url/v1/jobs/sapporo-9-9"
expect_error unknown_domain 503 unreachable -H "$key" "$url/v1/jobs/mars-1-1"
expect_error malformed_id 404 not_found -H "$key" "$url/v1/jobs/%00%2e%2e"
expect_error unknown_queue 404 not_found -H "$key" -d \
	'{"name":"a","queue":"none","kind":"batch","cpus":1,"command":"x"}' \
	"$url/v1/jobs"
expect_error unknown_path 404 not_found "$url/v2"
expect_error reserved_key 400 invalid -H "$key" -d \
	'{"name":"a","queue":"reprints","kind":"batch","cpus":1,"command":"x",
	"idempotency_key":"declared/a/sapporo/1"}' "$url/v1/jobs"

# 8 a gang larger than all workers together, a task larger than any worker, a
# negative number of processors
expect_error large_gang 422 never_fits -H "$key" -d \
	'{"name":"a","queue":"reprints","kind":"gang","tasks":9,"cpus":1,"command":"x"}' \
	"$url/v1/jobs"
expect_error large_task 422 never_fits -H "$key" -d \
	'{"name":"a","queue":"reprints","kind":"batch","cpus":9,"command":"x"}' \
	"$url/v1/jobs"
expect_error out_of_range 400 invalid -H "$key" -d \
	'{"name":"a","queue":"reprints","kind":"batch","cpus":-1,"command":"x"}' \
	"$url/v1/jobs"

# 9 the port in use, invalid settings, no settings
expect_failure port_in_use 1 'address_in_use' \
	"$cell_build/zinniarack-entryd" "$work/sapporo-1.yaml"
sed 's/^store: .*/store: nowhere/' "$work/sapporo-1.yaml" >"$work/wrong.yaml"
expect_failure wrong_settings 2 "wrong.yaml:3: field 'store': 'nowhere'" \
	"$cell_build/zinniarack-entryd" "$work/wrong.yaml"
expect_failure no_settings 2 'not_found' \
	"$cell_build/zinniarack-schedulerd" "$work/none.yaml"

# No expected version, a malformed one, a change that moves idempotency keys, a
# stale expected version
expect_error no_version 400 invalid -X PUT -H "$operator" -d 'policy: shares-first' \
	"$url/v1/config"
expect_error wrong_version 400 invalid -X PUT -H "$operator" \
	-d 'policy: shares-first' "$url/v1/config?expected=1x"
expect_error moved_keys 409 state -X PUT -H "$operator" \
	-d 'policy: shares-first' "$url/v1/config?expected=1"
expect_error stale_version 409 conflict -X PUT -H "$operator" \
	-d 'policy: shares-first' "$url/v1/config?expected=0&move_keys=yes"

# 10 the store has failed: a change and a job are refused and have no effect
starts=$(grep -c start "$work/ledger" || :)
kill -KILL "$(cell_pid platform)"
expect_error no_store_config 503 store_down -X PUT -H "$operator" \
	-d 'policy: shares-first' "$url/v1/config?expected=1&move_keys=yes"
grep -q '"not_run":true' "$work/out"
refused_job () {
	curl -s -m 30 -H "$key" -d "$job" "$url/v1/jobs" | grep -q '"error"'
}
refused_job
alive
test "$(grep -c start "$work/ledger" || :)" -eq "$starts"
$zr config show | grep -q '^version: 1$'
echo "test_inputs_refused: ok"

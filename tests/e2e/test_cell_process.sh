#!/bin/sh
# zinniarack-celld without a platform: command line, checks of the settings,
# readiness, metrics, reload of the settings on SIGHUP, and graceful shutdown.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
build=${ZR_BUILD:-$source/build}
port=$((${ZR_PORT:-27000} + 940))
work=$(mktemp -d)
trap 'test -z "${pid:-}" || kill -9 "$pid" 2>/dev/null || :; rm -rf "$work"' EXIT

fail () {
	echo "$1"
	test ! -f "$work/log" || tail -n 20 "$work/log"
	exit 1
}

print_settings () {
	cat <<-EOT
	name: host-1
	cell: main
	failure_domain: north
	store: 127.0.0.1:$((port + 9))
	listen:
	  callers: 127.0.0.1:$port
	  readiness: 127.0.0.1:$((port + 1))
	  peers: 127.0.0.1:$((port + 2))
	  metrics: 127.0.0.1:$((port + 3))
	leave_ms: 4000
	worker_speed:
	  enabled: true
	log:
	  level: info
	EOT
}

http_status () {
	curl -s -o "$work/body" -w '%{http_code}' "$@" || :
}

"$build/zinniarack-celld" "$work/none.yaml" 2>"$work/err" &&
	fail "accepted missing settings"
grep -q not_found "$work/err" || fail "missing settings: $(cat "$work/err")"

print_settings | sed 's/leave_ms: 4000/leave_ms: soon/' >"$work/bad.yaml"
"$build/zinniarack-celld" "$work/bad.yaml" 2>"$work/err" && fail "accepted invalid settings"
grep -q 'bad.yaml:10: field .leave_ms.' "$work/err" ||
	fail "invalid settings: $(cat "$work/err")"

print_settings >"$work/settings.yaml"
ZINNIARACK_CONFIG=$work/settings.yaml "$build/zinniarack-celld" >"$work/log" 2>&1 &
pid=$!
tries=0
until test "$(http_status "http://127.0.0.1:$((port + 3))/metrics")" = 200
do
	tries=$((tries + 1))
	test "$tries" -lt 100 || fail "no metrics are served"
	sleep 0.1
done
grep -q zinniarack_cell_starts_total "$work/body" || fail "a counter is missing"
test "$(http_status "http://127.0.0.1:$((port + 1))/-/readiness")" = 503 ||
	fail "ready without a store"
test "$(http_status -X POST -d '{}' "http://127.0.0.1:$port/q/0123456789abcdef")" = 503 ||
	fail "accepted a job without a configuration"
grep -q 'call.submit outcome=not_run' "$work/log" || fail "refusal not logged"

print_settings | sed 's/level: info/level: error/' >"$work/settings.yaml"
kill -HUP "$pid"
tries=0
while :
do
	before=$(grep -c 'call.submit' "$work/log")
	http_status -X POST -d '{}' "http://127.0.0.1:$port/q/0123456789abcdef" \
		>/dev/null
	test "$(grep -c 'call.submit' "$work/log")" -gt "$before" || break
	tries=$((tries + 1))
	test "$tries" -lt 100 || fail "the log level was not reloaded"
	sleep 0.05
done

kill -TERM "$pid"
tries=0
while kill -0 "$pid" 2>/dev/null
do
	tries=$((tries + 1))
	test "$tries" -lt 100 || fail "did not exit on SIGTERM"
	sleep 0.1
done
wait "$pid" || fail "exited with status $?"
pid=
echo "ok"

#!/bin/sh
# Jobs of another client account: on real hosts, with a key that is valid but not that of
# the job's account, a job can neither be read nor cancelled, through its owner, through
# another host, from the store during a takeover, and after its end. Its own account and
# open queues are served as ever.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
build=${ZR_BUILD:-$source/build}
base=$((${ZR_PORT:-27000} + 600))
work=$(mktemp -d)
pids=
trap 'for process in $pids; do kill -KILL "$process" 2>/dev/null || :; done; rm -rf "$work"' EXIT

fail () {
	echo "$1"
	tail -n 30 "$work"/host-*.log
	exit 1
}

port () {
	echo "127.0.0.1:$(($base + $1))"
}

start_host () {
	cat >"$work/host-$1.yaml" <<-EOT
	name: host-$1
	cell: main
	failure_domain: d$1
	store: $(port 0)
	adviser: $(port 1)
	listen:
	  callers: $(port $((100 + 10 * $1)))
	  readiness: $(port $((101 + 10 * $1)))
	  peers: $(port $((102 + 10 * $1)))
	  metrics: $(port $((103 + 10 * $1)))
	processors: 0.5
	lease_max_ms: 6000
	log:
	  level: info
	EOT
	"$build/zinniarack-celld" "$work/host-$1.yaml" >>"$work/host-$1.log" 2>&1 &
	eval "host_$1=$!"
	pids="$pids $!"
}

# call HOST KEY METHOD PATH [BODY]: print the status and the body
call () {
	curl -s -m 5 -o "$work/body" -w '%{http_code} ' -X "$3" -H 'Host: q.example' \
		${2:+-H "Authorization: Bearer $2"} \
		${5:+-H 'Content-Type: application/json' -d "$5"} \
		"http://$(port $((100 + 10 * $1)))$4" || :
	cat "$work/body" 2>/dev/null || :
}

# expect TEXT COMMAND...: the answer begins with TEXT
expect () {
	wanted=$1
	shift
	answer=$("$@")
	case $answer in
	"$wanted"*)
		;;
	*)
		fail "$*: expected $wanted, got $answer"
		;;
	esac
}

# until_answer TEXT COMMAND...: repeat until the answer begins with TEXT
until_answer () {
	wanted=$1
	shift
	tries=0
	while :
	do
		answer=$("$@")
		case $answer in
		"$wanted"*)
			return
			;;
		esac
		tries=$(($tries + 1))
		test "$tries" -lt 200 || fail "$*: expected $wanted, got $answer"
		sleep 0.1
	done
}

"$build/soak-platform" --port "$base" --workers 2 >"$work/platform.log" 2>&1 &
pids="$pids $!"
sleep 0.3
for host in 0 1 2
do
	start_host $host
done
# spec WORK_MS: a job with one task
spec () {
	echo "{\"task_spec\":\"500 $1 0\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":$1}]}"
}
long=00000000000000a1
short=00000000000000a2
open=00000000000000a3
until_answer 200 call 0 key-1 POST /q/$long "$(spec 30000)"
until_answer 200 call 1 key-1 POST /q/$short "$(spec 300)"
until_answer 200 call 1 "" POST /open/$open "$(spec 30000)"
until_answer '200 {"state":"active"' call 0 key-1 GET /q/$long
until_answer '200 {"state":"completed"' call 0 key-1 GET /q/$short

for host in 0 1 2
do
	for job in $long $short
	do
		expect '410' call $host key-2 GET /q/$job
		expect '410' call $host key-2 DELETE /q/$job
		expect '401' call $host key-9 GET /q/$job
		expect '200' call $host key-1 GET /q/$job
	done
	expect '200' call $host key-2 GET /open/$open
	expect '200' call $host "" GET /open/$open
done

# The owner is gone, so the other hosts read the store until one has taken over.
for host in 0 1 2
do
	if grep -q 'domain.gained' "$work/host-$host.log"
	then
		eval "kill -KILL \$host_$host"
		owner=$host
		break
	fi
done
test -n "${owner:-}" || fail "no host owns the cell"
host=$((($owner + 1) % 3))
tries=0
while test $tries -lt 25
do
	for job in $long $short
	do
		case $(call $host key-2 GET /q/$job) in
		200* | 204*)
			fail "job $job of another account was read during a takeover"
			;;
		esac
		case $(call $host key-2 DELETE /q/$job) in
		200* | 204*)
			fail "job $job of another account was cancelled during a takeover"
			;;
		esac
	done
	tries=$(($tries + 1))
	sleep 0.1
done
until_answer '200 {"state":"active"' call $host key-1 GET /q/$long
expect '200' call $host "" DELETE /open/$open
expect '200' call $host key-1 DELETE /q/$long
until_answer '200 {"state":"cancelled"' call $host key-1 GET /q/$long
expect '410' call $host key-2 GET /q/$long
echo "ok"

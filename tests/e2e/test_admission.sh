#!/bin/sh
# Admission control through real processes: in a full cell a job that cannot end
# in time is answered 503 with Retry-After and does not run, one that was accepted
# before is not rejected, and a caller that obeys Retry-After is accepted. Then the
# same for a client account above its share, which is answered 429.
set -eu
expected_status=${1:-503}
expected_reason=${2:-overload}
weight=${3:-1000}
source=$(cd "$(dirname "$0")/../.." && pwd)
build=${ZR_BUILD:-$source/build}
base_port=$((${ZR_PORT:-27000} + 700))
work=$(mktemp -d)
pids=
workers=4

stop_all () {
	for process in $pids
	do
		kill -KILL "$process" 2>/dev/null || :
	done
	wait 2>/dev/null || :
	rm -rf "$work"
}
trap stop_all EXIT
trap "exit 2" INT TERM

fail () {
	echo "$1"
	grep -h 'call.submit outcome=not_run' "$work"/host*.log | tail -n 5
	exit 1
}

# spawn NAME COMMAND...: start a process; its output goes to NAME.log
spawn () {
	name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	pids="$pids $!"
}

# port OFFSET: address on loopback; as in tests/soak/run.sh
port () {
	echo "127.0.0.1:$(($base_port + $1))"
}

print_settings () {
	cat <<-EOT
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
	admission:
	  enabled: true
	EOT
}

# call METHOD HOST JOB: the answer's headers go to $work/answer; prints the status
call () {
	curl -s -m 5 -X "$1" -D "$work/answer" -o /dev/null -w '%{http_code}' \
		-H 'Host: q.example' -H 'Authorization: Bearer key-1' \
		${4:+-d "$4"} "http://$(port $((100 + 10 * $2)))/q/$3" || :
}

# Four tasks of a processor and half a second. The objective is 2 x 500 ms + 1 s.
body='{"task_spec":"1000 500 0","steps":[{"count":4,"cpu":1000,"mem_mb":64,"estimate_ms":500}]}'

# submit HOST JOB: prints the status
submit () {
	call POST "$1" "$2" "$body"
}

job_id () {
	printf '%016x' "$1"
}

# submit_many FIRST COUNT: submit jobs to both hosts over few connections
submit_many () {
	i=$1
	while test $i -lt $(($1 + $2))
	do
		echo "url = http://$(port $((100 + 10 * ($i % 2))))/q/$(job_id $i)"
		echo "output = /dev/null"
		i=$(($i + 1))
	done >"$work/urls"
	curl -s --no-progress-meter -m 20 -Z --parallel-max 16 -X POST -d "$body" \
		-H 'Host: q.example' -H 'Authorization: Bearer key-1' \
		-w '%{http_code}\n' -K "$work/urls" | sort | uniq -c |
		tr '\n' ' '
}

spawn platform "$build/soak-platform" --port "$base_port" --workers "$workers" \
	--weight "$weight"
for host in 0 1
do
	print_settings $host >"$work/host$host.yaml"
	spawn "host$host" "$build/zinniarack-celld" "$work/host$host.yaml"
done
tries=0
until test "$(submit 0 "$(job_id 1)")" = 200
do
	tries=$(($tries + 1))
	test "$tries" -lt 100 || fail "no job is accepted"
	sleep 0.1
done

# The owner learns the run times while nothing is rejected.
echo "calm: $(submit_many 100 30)"
sleep 4
grep -q 'outcome=not_run reason=over' "$work"/host*.log &&
	fail "rejected below full load"

# 16 tasks run at a time: 8 jobs per second, and the 140 jobs of the flood wait for
# 17 s. The owner publishes the load every 600 ms; a host reads it every 500 ms.
echo "flood: $(submit_many 1000 140)"
tries=0
job=2000
until test "$(submit 0 "$(job_id $job)")" = "$expected_status"
do
	tries=$(($tries + 1))
	job=$(($job + 1))
	test "$tries" -lt 10 || fail "not rejected in a full cell"
	sleep 0.2
done
retry_s=$(tr -d '\r' <"$work/answer" | sed -n 's/^[Rr]etry-[Aa]fter: //p')
test "$retry_s" -ge 1 || fail "Retry-After is '$retry_s'"
grep -q "job=$(job_id $job) .*reason=$expected_reason .*finish_ms=" "$work/host0.log" ||
	fail "the rejection is not logged"
curl -s "http://$(port 103)/metrics" |
	grep -q "zinniarack_cell_rejected_total{reason=\"$expected_reason\",priority=\"1\"} 1" ||
	fail "the rejection is not counted"
for host in 0 1
do
	test "$(submit $host "$(job_id 1000)")" = 200 ||
		fail "a job that was accepted before is rejected"
done

# Callers go on, so that the hosts know the load when the rejected one returns.
waited=0
until test "$waited" -ge "$retry_s"
do
	submit 1 "$(job_id 1000)" >/dev/null
	sleep 1
	waited=$(($waited + 1))
done
grep -q "began $(job_id $job)" "$work/platform.log" &&
	fail "a rejected job has run"
status=$(submit 1 "$(job_id $job)")
test "$status" = 200 || fail "after Retry-After of $retry_s s: $status"
grep -q VIOLATION "$work/platform.log" && fail "violation"
echo "ok: $expected_status, and accepted after $retry_s s"
test $# -gt 0 || {
	stop_all
	trap - EXIT
	exec "$0" 429 over_share 4
}

#!/bin/sh
# All nine entry hosts are restarted one by one under load. Each short request
# is answered completely. A daemon that shuts down may only refuse a request
# that has not run, which another host then accepts.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=${ZR_WORK:-$(mktemp -d)}
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'touch "$work/stop"; wait_callers; cell_stop; rm -rf "$work"' EXIT
callers=4
caller_pids=

wait_callers () {
	for pid in $caller_pids
	do
		wait "$pid" || :
	done
	caller_pids=
}

for domain in sapporo asahikawa hakodate
do
	cell_add_entry $domain
	cell_add_entry $domain
	cell_add_entry $domain
	cell_add_worker $domain r1 30000 130000 0
	cell_add_worker $domain r2 30000 130000 0
done
cell_start_platform
cell_start_hosts
cell_entry=$(cell_port 110)
zr="$cell_build/zinniarack -e $cell_entry"
cell_until 20 cell_active_domains 3
mkdir "$work/config"
cp "$cell_source"/examples/kitakaze/*.yaml "$work/config"
ZINNIARACK_KEY=$($zr key new k1 reprints "$work/config/30-key.yaml")
export ZINNIARACK_KEY
$zr config apply "$work/config"
for host in 1 4 7
do
	cell_until 10 cell_config_version "$(cell_port $((100 + 10 * $host)))" 1
	cell_until 10 sh -c "printf '%s' '{\"name\":\"faces\",\"queue\":\"reprints\",\"kind\":\"service\",
		\"tasks\":2,\"cpus\":2,\"command\":\"serve 5\"}' |
		$cell_build/zinniarack -e $(cell_port $((100 + 10 * $host))) submit -"
done

# send_request HOST BODY: send a request to a host once; print the HTTP status
# and write the answer to answer.$caller
send_request () {
	curl -s -m 8 -o "$work/answer.$caller" -w '%{http_code}' \
		-H "Authorization: Bearer $ZINNIARACK_KEY" -d "$2" \
		"http://$(cell_port $((100 + 10 * $1)))/v1/services/faces/requests"
}

serves () {
	caller=probe.$1
	test "$(send_request "$1" probe)" = 200
}

# send_with_retry BODY: send a request, and repeat it on the next host as long
# as it definitely did not run; print the outcome
send_with_retry () {
	attempts=0
	while test $attempts -lt 60
	do
		attempts=$(($attempts + 1))
		host=$(($host % 9 + 1))
		error=0
		status=$(send_request $host "$1") || error=$?
		if test "$error" -eq 0 -a "$status" = 200
		then
			test "$(cat "$work/answer.$caller")" = "$1" &&
				echo ok || echo "wrong answer to $1"
			return
		fi
		# curl could not connect.
		if test "$error" -eq 7
		then
			continue
		fi
		if test "$error" -eq 0 &&
			grep -q '"not_run":true' "$work/answer.$caller"
		then
			echo refused >>"$work/refused.$caller"
			sleep 0.05
			continue
		fi
		echo "broken $1: curl $error, status $status, host $host: \
$(tail -c 200 "$work/answer.$caller")"
		return
	done
	echo "no host accepted $1"
}

run_caller () {
	caller=$1
	host=$1
	number=0
	while ! test -e "$work/stop"
	do
		number=$(($number + 1))
		send_with_retry "face $caller-$number"
	done >"$work/results.$caller"
}

for host in 1 2 3 4 5 6 7 8 9
do
	cell_until 20 serves $host
done
for number in $(seq $callers)
do
	run_caller "$number" &
	caller_pids="$caller_pids $!"
done

# restart NAME HOST: shut down both daemons of a host gracefully and start them
restart () {
	for daemon in scheduler entry
	do
		kill -TERM "$(cell_pid "$1.$daemon")"
	done
	for daemon in scheduler entry
	do
		wait "$(cell_pid "$1.$daemon")"
		grep -h "$daemon.stopped" "$work/$1.$daemon.log" |
			sed "s/.*event /$1 /"
		mv "$work/$1.$daemon.log" "$work/$1.$daemon.before"
	done
	cell_start_host "$1"
	cell_until 30 serves "$2"
}

host=0
for name in sapporo-1 sapporo-2 sapporo-3 asahikawa-4 asahikawa-5 \
	asahikawa-6 hakodate-7 hakodate-8 hakodate-9
do
	host=$(($host + 1))
	restart $name $host
done
touch "$work/stop"
wait_callers

for worker in 0 1 2 3 4 5
do
	curl -s "http://$(cell_port $((400 + $worker)))/v1/serving"
	echo
done | tee "$work/serving"
answered=$(cat "$work"/results.* | grep -c '^ok$' || :)
failed=$(cat "$work"/results.* | grep -vc '^ok$' || :)
refused=$(cat "$work"/refused.* 2>/dev/null | wc -l)
echo "answered $answered, refused as not run and sent to another host $refused," \
	"failed $failed"
cat "$work"/results.* | grep -v '^ok$' | head -n 10 || :
grep -h "cut_off=[1-9]" "$work"/*.before && exit 1
test "$failed" -eq 0
test "$answered" -gt 100
! grep -q '"most": *\(9\|[1-9][0-9]\)' "$work/serving"
echo "test_graceful_restart: ok"

# A small deployment on loopback for the cases 6 to 10; sourced by run.sh, which
# sets `case_dir`, its folder. Three hosts in three zones with the settings that
# deploy/settings.yaml gives them, the platform, and workers, each a process.
#
# Ports from $base: 0 store, 1 control, 2 adviser, 10+4*I.. host I, 30.. workers.

root=$(cd "$case_dir/../.." && pwd)
bin=$root/target/review-2
record=$case_dir/record.txt
hosts=3
zones="muscat-a sohar-b nizwa-c"
key=key-of-the-tenant
route_host=claims.example
trouble=${TROUBLE:-1}
pids=
worker_count=0

end_all () {
	for process in $pids
	do
		kill -KILL "$process" 2>/dev/null || :
	done
	wait 2>/dev/null || :
	rm -rf "$work"
}

# cannot_run TEXT: end without a result
cannot_run () {
	note "the case could not run: $1"
	exit 2
}

now_ms () {
	echo $(($(date +%s%N) / 1000000))
}

# note TEXT: add a line to the record
note () {
	echo "$(($(now_ms) - $began_ms)) $*" >>"$record"
}

# address OFFSET
address () {
	echo "127.0.0.1:$(($base + $1))"
}

# spawn NAME COMMAND...: start a process; output in NAME.log, id in NAME.pid
spawn () {
	spawn_name=$1
	shift
	"$@" >>"$work/$spawn_name.log" 2>>"$work/$spawn_name.err" &
	echo $! >"$work/$spawn_name.pid"
	pids="$pids $!"
}

zone () {
	echo $zones | cut -d ' ' -f $(($1 % 3 + 1))
}

# start_host I
start_host () {
	cat >"$work/host-$1.yaml" <<-EOT
	name: edge-$(zone $1)-$1
	cell: main
	failure_domain: $(zone $1)
	store: $(address 0)
	adviser: $(address 2)
	listen:
	  callers: $(address $((10 + 4 * $1)))
	  readiness: $(address $((11 + 4 * $1)))
	  peers: $(address $((12 + 4 * $1)))
	  metrics: $(address $((13 + 4 * $1)))
	processors: 0.25
	lease_max_ms: 6000
	worker_speed:
	  enabled: true
	log:
	  level: info
	departures:
	  move_runs: true
	EOT
	ZINNIARACK_CONFIG=$work/host-$1.yaml spawn "host-$1" "$root/target/zinniarack-celld"
}

# start_worker I KIND CPU MEM_MB [DELAY_MS [tickets]]: (re)start worker I
start_worker () {
	spawn "worker-$1" "$bin/worker" "i-worker-$1" \
		"$(address $((30 + $1)))" "$(address 1)" "$(zone $1)" "$2" \
		"r$(($1 % 3 + 1))-1" "$3" "$4" "${5:-0}" ${6:-}
}

# call METHOD PATH [BODY]: a client's call, at the host $at; prints the status
# and the body and notes them
at=0
call () {
	answer=$("$bin/client" "$1" "$(address $((10 + 4 * $at)))" "$2" \
		"$route_host" "$key" "${3:-}")
	note "client $1 $2 ${3:-} -> $answer"
	echo "$answer"
}

# put_config VERSION ROUTES: the operator writes a configuration
put_config () {
	config="{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"booths\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_check\":false,\"standby\":false}],\"limits\":{\"max_body_bytes\":262144},\"tenants\":[{\"name\":\"salalah\",\"api_keys\":[\"$key\"],\"priority\":1,\"weight\":38,\"upper_limit\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}]}"
	note "operator writes op/config $config"
	"$bin/client" POST "$(address 1)" /put/op/config platform - "$config" \
		>/dev/null
}

# route NAME PREFIX [ADVICE [PRIORITY]]
route () {
	echo "{\"name\":\"$1\",\"hostname\":\"$route_host\",\"prefix\":\"$2\",\"route_type\":\"non_idempotent\",\"timeout_ms\":3000,\"latency_target_ms\":1000,\"priority\":${4:-1},\"service\":\"booths\",\"attempts\":3,\"stretch\":2.2,${3:+\"advice\":$3,}\"public\":false}"
}

# until_true SECONDS COMMAND...: repeat a command until it succeeds
until_true () {
	until_ms=$(($(now_ms) + 1000 * $1))
	shift
	until "$@"
	do
		test "$(now_ms)" -lt "$until_ms" || return 1
		sleep 0.05
	done
}

is_ready () {
	for i in 0 1 2
	do
		"$bin/client" GET "$(address $((11 + 4 * $i)))" /-/readiness - - |
			grep -q '^200' || return 1
	done
}

# events TASK: what the workers did with a work item, in the order of time
events () {
	cat "$work"/worker-*.log | grep -F " $1 " | sort -n
}

# running TASK: the workers that run a work item now. A worker that was killed
# or that restarted runs nothing of before.
running () {
	for log in "$work"/worker-*.log
	do
		name=$(basename "$log" .log)
		kill -0 "$(cat "$work/$name.pid")" 2>/dev/null || continue
		awk -v task="$1" '
			$3 != born { born = $3; on = 0 }
			$5 == task && $4 == "start" { on = 1 }
			$5 == task && $4 == "end" { on = 0 }
			END { exit !on }' "$log" && echo "${name#worker-}"
	done
	return 0
}

is_running () {
	test -n "$(running "$1")"
}

# kill_worker I
kill_worker () {
	note "worker $1 is killed"
	kill -KILL "$(cat "$work/worker-$1.pid")"
	wait "$(cat "$work/worker-$1.pid")" 2>/dev/null || :
}

# finish STATUS TEXT: add what the workers did to the record, and end
finish () {
	note "$2"
	{
		echo "what the workers did (ms, worker, born, event, work item, run, detail):"
		cat "$work"/worker-*.log | sort -n | tail -n 200
		echo "what the hosts decided about the jobs:"
		cat "$work"/host-*.log | grep -E 'job\.(failed|ended|cancelled)|task\.crashed_worker|worker\.(crashed|restarted)' |
			sort | tail -n 40
	} | sed "s/127\.0\.0\.1:[0-9]*/ADDRESS/g" >>"$record"
	echo "$2"
	exit "$1"
}

# begin WORKERS: start the platform and the hosts; run.sh starts the workers
begin () {
	work=$(mktemp -d)
	trap end_all EXIT
	trap "exit 2" INT TERM
	began_ms=$(now_ms)
	: >"$record"
	note "began, TROUBLE=$trouble"
	test -x "$bin/worker" || cannot_run "review/build-2.sh has not been run"
	base=$("$bin/ports" 60) || cannot_run "no free ports"
	# The program starts in the top folder, as the deploy file has it.
	cd "$root"
	spawn platform "$bin/platform" "$(address 0)" "$(address 1)" \
		"$(address 2)" ${refused:-}
	sleep 0.3
	kill -0 "$(cat "$work/platform.pid")" 2>/dev/null ||
		cannot_run "the platform did not start"
}

# wait_ready: after the hosts, the workers and the configuration
wait_ready () {
	until_true 10 is_ready || cannot_run "no host became ready"
	sleep 2
}

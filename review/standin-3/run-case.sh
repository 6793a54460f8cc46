#!/bin/sh
# Runs a case: the world, a relay from each host to the store, and the hosts.
# usage: run-case.sh FOLDER CASE [HOSTS]; record.txt is written into FOLDER.
# TROUBLE=0 leaves the disruption out. Ends with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd)
case=$2
hosts=${3:-3}
root=$(cd "$(dirname "$0")/../.." && pwd)
trouble=${TROUBLE:-1}
programs=$root/target/review-3
work=$(mktemp -d)
pids=

# end_processes: end what was started, by its ids
end_processes () {
	for pid in $pids
	do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	pids=
}

end_all () {
	end_processes
	rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' HUP INT TERM

test -x "$root/target/zinniarack-celld" -a -x "$programs/world" || {
	echo "build the deploy file's target and run review/build-3.sh first"
	exit 2
}

# print_settings HOST PORT: as the template deploy/settings.yaml gives them
print_settings () {
	cat <<-EOT
	name: host-$1
	cell: main
	failure_domain: z1
	store: 127.0.0.1:$(($2 + 1 + $1))
	listen:
	  callers: 127.0.0.1:$(($2 + 20 + 5 * $1))
	  readiness: 127.0.0.1:$(($2 + 21 + 5 * $1))
	  peers: 127.0.0.1:$(($2 + 22 + 5 * $1))
	  metrics: 127.0.0.1:$(($2 + 23 + 5 * $1))
	processors: 0.25
	lease_max_ms: 6000
	worker_speed:
	  enabled: true
	log:
	  level: info
	departures:
	  move_runs: true
	EOT
}

# run PORT: one attempt; ends with 3 if a port was in use
run () {
	pids=
	relays=
	i=0
	while test $i -lt "$hosts"
	do
		"$programs/standin-relay" "127.0.0.1:$(($1 + 1 + $i))=127.0.0.1:$1" \
			>"$work/relay$i.log" 2>&1 &
		relays="$relays $!"
		pids="$pids $!"
		i=$(($i + 1))
	done
	"$programs/world" "$case" "$trouble" "$1" "$folder/record.txt" $relays \
		>"$work/world.log" 2>&1 &
	world=$!
	pids="$pids $world"
	sleep 0.3
	i=0
	while test $i -lt "$hosts"
	do
		print_settings $i "$1" >"$work/host$i.yaml"
		(cd "$root" && exec env ZINNIARACK_CONFIG="$work/host$i.yaml" \
			target/zinniarack-celld) >"$work/host$i.log" 2>&1 &
		pids="$pids $!"
		i=$(($i + 1))
	done
	wait "$world"
	status=$?
	end_processes
	test -z "${ZR_LOGS:-}" || cp "$work"/*.log "$ZR_LOGS"
	return $status
}

status=3
tries=0
while test $status -eq 3 -a $tries -lt 5
do
	run $((21000 + ($$ + $tries * 37) % 60 * 120))
	status=$?
	tries=$(($tries + 1))
done
test $status -le 2 || status=2
tail -n 1 "$folder/record.txt"
exit $status

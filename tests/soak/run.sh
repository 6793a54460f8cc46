#!/bin/sh
# Soak test: six hosts of one cell as real processes, a stand-in for the users'
# platform, and clients with persistent connections. A random series of faults,
# which the seed determines, is injected from outside. Connections to the store
# and to the workers go through relays, which can silence them or cut them off;
# a restart of a relay resets its connections. Relays don't delay data, unless
# ZR_MBPS is set: then the links to the store of all hosts but the first two
# have that bandwidth in Mbit/s, the configuration grows to 1.4 MB, and the
# faults are those of generate_growth.
#
# With ZR_ENTRY_S, the mean time between odd registrations of workers in s is that
# instead of 1, and there are no other faults.
#
# usage: run.sh SEED [SECONDS [FOLDER]]; logs stay in FOLDER when it fails.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
build=${ZR_BUILD:-$source/build}
seed=$1
seconds=${2:-20}
work=${3:-$(mktemp -d)}
base_port=$((${ZR_PORT:-27000} + 600))
hosts=6
workers=8
mbps=${ZR_MBPS:-0}
entry_s=${ZR_ENTRY_S:-1}
only_entries=${ZR_ENTRY_S:+yes}
# Jobs per second. Odd registrations take workers out of use for a while.
rate=25
test "$only_entries" != yes || rate=8
wide_hosts=2
# Bound of soak-prober for a host with a limited link, in s.
apply_s=4
test "$mbps" -eq 0 || test "$mbps" -ge 10 || apply_s=$((1 + 30 / $mbps))
mkdir -p "$work"
pids=
remove_work=

# spawn NAME COMMAND...: start a process; its output goes to NAME.log and its id
# to NAME.pid
spawn () {
	name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	echo $! >"$work/$name.pid"
	pids="$pids $!"
}

# pid NAME: id of a process that spawn started
pid () {
	cat "$work/$1.pid"
}

kill_all () {
	# Of a host that a background process has started, only the file tells.
	for process in $pids $(cat "$work"/host*.pid 2>/dev/null)
	do
		kill -CONT "$process" 2>/dev/null || :
		kill -KILL "$process" 2>/dev/null || :
	done
	wait 2>/dev/null || :
	test -z "$remove_work" || rm -rf "$work"
}
trap kill_all EXIT
trap "exit 2" INT TERM

# port OFFSET: address on loopback. Offsets: 0 store, 1 adviser, 2 control, 3..
# workers, 30.. relay to the workers, 50+I relay from host I to the store,
# 100+10*I.. host I.
port () {
	echo "127.0.0.1:$(($base_port + $1))"
}

# print_settings HOST: settings of a host
print_settings () {
	cat <<-EOT
	name: host-$1
	cell: main
	failure_domain: d$(($1 % 3))
	store: $(port $((50 + $1)))
	adviser: $(port 1)
	listen:
	  callers: $(port $((100 + 10 * $1)))
	  readiness: $(port $((101 + 10 * $1)))
	  peers: $(port $((102 + 10 * $1)))
	  metrics: $(port $((103 + 10 * $1)))
	processors: 0.5
	lease_max_ms: 6000
	evacuation_ms: 5000
	log:
	  level: info
	EOT
}

# start_host HOST: start the daemon of a host
start_host () {
	spawn "host$1" "$build/zinniarack-celld" "$work/host$1.yaml"
}

# start_relay HOST: relay from a host to the store
start_relay () {
	limit=0
	test "$1" -lt $wide_hosts || limit=$mbps
	spawn "relay$1" "$build/standin-relay" --mbps "$limit" \
		"$(port $((50 + $1)))=$(port 0)"
}

# start_worker_relay: one relay from all hosts to all workers
start_worker_relay () {
	maps=
	i=0
	while test $i -lt $workers
	do
		maps="$maps $(port $((30 + $i)))=$(port $((3 + $i)))"
		i=$(($i + 1))
	done
	spawn relay_workers "$build/standin-relay" $maps
}

# fault QUERY: ask the platform to inject a fault, see platform.c
fault () {
	curl -s -m 2 -o /dev/null "http://$(port 2)/fault?$1" || :
}

# signal NAME SIGNAL: send a signal to a process, which may have ended
signal () {
	kill "-$2" "$(pid "$1")" 2>/dev/null || :
}

# restart_host HOST: kill a host and start it again once its ports are free
restart_host () {
	process=$(pid "host$1")
	kill -KILL "$process" 2>/dev/null || :
	wait "$process" 2>/dev/null || :
	# stop_host has started it, so that it is no child of this shell.
	while kill -0 "$process" 2>/dev/null
	do
		sleep 0.01
	done
	start_host "$1"
}

# generate_faults: print a line for each fault: time in s after the start of the
# submissions, kind, a random number that the kind uses, and duration in s. The
# times and durations overlap; frequent kinds are listed twice.
generate_faults () {
	awk -v seed="$seed" -v seconds="$seconds" -v hosts="$hosts" \
		-v workers="$workers" 'BEGIN {
		srand(seed)
		n = split("kill kill term pause pause silent cut reset " \
			"workers_silent workers_cut workers_reset down " \
			"store_silent slow lose forget restart late all capacity " \
			"capacity capacity", kinds, " ")
		for (at = 2 + rand() * 2; at < seconds - 1; at += pause) {
			pause = rand() * 2.5
			printf "%.2f %s %d %.2f\n", at, kinds[1 + int(rand() * n)],
				int(rand() * 1000), 0.2 + rand() * rand() * 6
		}
	}'
}

# generate_evacuations: the same for evacuations of zones, which have a series of
# random numbers of their own
generate_evacuations () {
	awk -v seed="$(($seed + 1000000))" -v seconds="$seconds" 'BEGIN {
		srand(seed)
		for (at = 1 + rand() * 4; at < seconds - 1; at += 2 + rand() * 8)
			printf "%.2f evacuate %d %.2f\n", at, int(rand() * 1000),
				1 + rand() * 9
	}'
}

# generate_entries: the same for registrations that another writer changes
generate_entries () {
	awk -v seed="$(($seed + 2000000))" -v seconds="$seconds" \
		-v pause="$entry_s" 'BEGIN {
		srand(seed)
		for (at = 1; at < seconds - 1; at += 2 * pause * rand())
			printf "%.3f entry %d 0\n", at, int(rand() * 100000)
	}'
}

# generate_growth: print the faults of a run with limited links, as
# generate_faults does. The configuration grows to half of its size, to its
# full size, and then by one route each time. With an even seed, all hosts with
# a wide link are down around every second growth. Other hosts are down now and
# then, and workers restart or are late.
generate_growth () {
	awk -v seed="$seed" -v seconds="$seconds" -v hosts="$hosts" \
		-v wide="$wide_hosts" -v apply="$apply_s" 'BEGIN {
		srand(seed)
		routes = 2400
		for (at = 1 + rand(); at < seconds - 1; at += apply + 1 + rand() * 2) {
			printf "%.2f grow %d 0\n", at, routes
			routes = routes < 4800 ? 4800 : routes + 1
			if (seed % 2 == 0 && ++growths % 2 == 0)
				printf "%.2f stop_wide 0 %d\n", at - 1 + rand() * 2,
					apply + 1
		}
		n = split("stop restart late", kinds, " ")
		for (at = 2 + rand() * 4; at < seconds - 1; at += 3 + rand() * 4)
			printf "%.2f %s %d %.2f\n", at, kinds[1 + int(rand() * n)],
				wide + int(rand() * (hosts - wide)), 1 + rand() * 2
	}' | sort -n
}

# stop_host HOST DURATION_S: kill a host that runs, and start it again later
stop_host () {
	test ! -e "$work/stopped$1" || return 0
	: >"$work/stopped$1"
	signal "host$1" KILL
	(sleep "$2"; start_host "$1"; rm "$work/stopped$1") &
	pids="$pids $!"
}

# inject KIND NUMBER DURATION_S: start a fault; a background process ends it.
inject () {
	host=$(($2 % $hosts))
	ms=$(awk -v s="$3" 'BEGIN { printf "%d", s * 1000 }')
	case $1 in
	kill)
		restart_host "$host"
		;;
	term)
		signal "host$host" TERM
		sleep 0.4
		restart_host "$host"
		;;
	pause)
		signal "host$host" STOP
		(sleep "$3"; signal "host$host" CONT) &
		;;
	silent)
		signal "relay$host" USR1
		;;
	cut)
		signal "relay$host" USR2
		(sleep "$3"; signal "relay$host" HUP) &
		;;
	reset)
		signal "relay$host" KILL
		start_relay "$host"
		;;
	workers_silent)
		signal relay_workers USR1
		;;
	workers_cut)
		signal relay_workers USR2
		(sleep "$3"; signal relay_workers HUP) &
		;;
	workers_reset)
		signal relay_workers KILL
		start_worker_relay
		;;
	down)
		fault "kind=down&ms=$ms"
		;;
	store_silent)
		fault "kind=silent&ms=$ms"
		;;
	slow)
		fault "kind=slow&ms=$ms&much=$(($2 % 400 + 50))"
		;;
	lose)
		fault "kind=lose&much=$(($2 % 20 + 1))"
		;;
	forget)
		fault "kind=forget"
		;;
	restart)
		fault "kind=restart&much=$2"
		;;
	capacity)
		fault "kind=capacity&much=$((($2 % 3 + 1) * 100000 + $2 % $workers))"
		# Longer than the time in which a decrease has to be known.
		(sleep "$(awk -v s="$3" 'BEGIN { print 5 + s }')"
		fault "kind=capacity&much=$((400000 + $2 % $workers))") &
		;;
	evacuate)
		fault "kind=evacuate&much=$2"
		(sleep "$3"; fault "kind=restore&much=$2") &
		;;
	entry)
		fault "kind=entry&much=$2"
		;;
	late)
		fault "kind=late&ms=$ms&much=$(($2 % 60 + 10))"
		;;
	grow)
		fault "kind=grow&much=$2"
		;;
	stop)
		stop_host "$2" "$3"
		;;
	stop_wide)
		i=0
		while test $i -lt $wide_hosts
		do
			stop_host $i "$3"
			i=$(($i + 1))
		done
		;;
	all)
		i=0
		while test $i -lt $hosts
		do
			signal "host$i" KILL
			i=$(($i + 1))
		done
		i=0
		while test $i -lt $hosts
		do
			restart_host $i
			i=$(($i + 1))
		done
		;;
	esac
}

spawn platform "$build/soak-platform" --port "$base_port" \
	--reach $(($base_port + 30)) --workers "$workers"
start_worker_relay
sleep 0.2
for name in platform relay_workers
do
	kill -0 "$(pid $name)" 2>/dev/null || {
		echo "$name did not start; are its ports in use?"
		cat "$work/$name.log"
		exit 1
	}
done
addresses=
i=0
while test $i -lt $hosts
do
	print_settings $i >"$work/host$i.yaml"
	start_relay $i
	start_host $i
	addresses="$addresses${addresses:+,}$(port $((100 + 10 * $i)))"
	i=$(($i + 1))
done
tries=0
until test "$(curl -s -o /dev/null -w '%{http_code}' "http://$(port 101)/-/readiness")" = 200
do
	tries=$(($tries + 1))
	test $tries -lt 100 || {
		echo "no host became ready; logs are in $work"
		exit 1
	}
	sleep 0.1
done
"$build/soak-caller" --hosts "$addresses" --seed "$seed" \
	--seconds "$seconds" --rate "$rate" >"$work/caller.log" 2>&1 &
caller=$!
pids="$pids $caller"

prober=
if test "$mbps" -gt 0
then
	"$build/soak-prober" --hosts "$addresses" --control "$(port 2)" \
		--mbps "$mbps" --wide "$wide_hosts" \
		--seconds $(($seconds + $apply_s + 1)) >"$work/prober.log" 2>&1 &
	prober=$!
	pids="$pids $prober"
	generate_growth >"$work/faults"
else
	{
		test "$only_entries" = yes || {
			generate_faults
			generate_evacuations
		}
		generate_entries
	} | sort -n >"$work/faults"
fi
started_ns=$(date +%s%N)
while read -r at_s kind number duration_s
do
	now_ns=$(date +%s%N)
	wait_s=$(awk -v at="$at_s" -v ms="$((($now_ns - $started_ns) / 1000000))" \
		'BEGIN { s = at - ms / 1000; printf "%.3f", (s > 0 ? s : 0) }')
	sleep "$wait_s"
	echo "$at_s $kind $number $duration_s" >>"$work/injected"
	inject "$kind" "$number" "$duration_s"
done <"$work/faults"

status=0
wait "$caller" || status=1
test -z "$prober" || wait "$prober" || status=1
# A host that has ended by itself is not started again. Hosts may be down only
# where the faults of generate_growth stop them.
i=0
while test $i -lt $hosts -a "$mbps" -eq 0
do
	kill -0 "$(pid host$i)" 2>/dev/null || {
		echo "VIOLATION ENDED host $i has ended by itself" >>"$work/ended"
	}
	i=$(($i + 1))
done
touch "$work/ended"
grep '^refused' "$work/caller.log" | while read -r _ id
do
	! grep -q "began $id" "$work/platform.log" ||
		echo "VIOLATION REFUSED $id was refused and started"
done >"$work/refused"
# has_reason_to_fail JOB MS: whether, until a time, two workers had crashed under
# a task of a job, or as many runs of one task or gang had failed as its queue
# has attempts
has_reason_to_fail () {
	awk -v id="$1." -v shown_ms="$2" '
		$1 == "attempts" { attempts = $2 }
		index($2, id) != 1 || $NF > shown_ms { next }
		$1 == "crashed" && ++crashes[$2] >= 2 ||
		$1 == "failed_run" && ++failed_runs[$2] >= attempts { found = 1 }
		END { exit !found }' "$work/platform.log"
}

grep '^failed ' "$work/caller.log" | while read -r _ id ms
do
	has_reason_to_fail "$id" "$ms" ||
		echo "VIOLATION LOST $id failed, though no two workers crashed under a task of it, nor had all attempts of one failed"
done >"$work/failed"
grep -h VIOLATION "$work/platform.log" "$work/caller.log" "$work/refused" \
	"$work/failed" "$work/ended" \
	${prober:+"$work/prober.log"} >"$work/violations" && status=1
echo "seed $seed: $(tail -n 1 "$work/caller.log")"
test -z "$prober" || echo "seed $seed: $(tail -n 1 "$work/prober.log")"
if test "$status" -ne 0
then
	head -n 20 "$work/violations"
	echo "seed $seed failed; logs are in $work"
	exit 1
fi
test -n "${3:-}" || remove_work=yes

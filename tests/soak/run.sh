#!/bin/sh
# A soak: six hosts of one cell as real processes, a stand-in for the users'
# platform, callers who keep their connections, and faults from outside in a
# random series that is the same for the same seed. Connections to the store and
# to the workers go through relays, which delay nothing but go silent, cut or
# are reset.
#
# usage: run.sh SEED [SECONDS [FOLDER]]; logs stay in FOLDER when it fails.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
build=${ZR_BUILD:-$source/build}
seed=$1
seconds=${2:-20}
work=${3:-$(mktemp -d)}
base=$((${ZR_PORT:-27000} + 600))
hosts=6
workers=8
mkdir -p "$work"
pids=

# spawn NAME COMMAND...
spawn () {
	name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	echo $! >"$work/$name.pid"
	pids="$pids $!"
}

pid () {
	cat "$work/$1.pid"
}

finish () {
	for name in $pids
	do
		kill -CONT "$name" 2>/dev/null || :
		kill -KILL "$name" 2>/dev/null || :
	done
	wait 2>/dev/null || :
}
trap finish EXIT
trap "exit 2" INT TERM

# Ports: BASE store, +1 adviser, +2 control, +3.. workers, +30.. workers as
# hosts reach them, +50+I the store as host I reaches it, +100+10*I host I.
port () {
	echo "127.0.0.1:$(($base + $1))"
}

settings () {
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
	log:
	  level: info
	EOT
}

start_host () {
	spawn "host$1" "$build/zinniarack-celld" "$work/host$1.yaml"
}

start_relay () {
	spawn "relay$1" "$build/standin-relay" "$(port $((50 + $1)))=$(port 0)"
}

start_worker_relay () {
	maps=
	i=0
	while test $i -lt $workers
	do
		maps="$maps $(port $((30 + $i)))=$(port $((3 + $i)))"
		i=$(($i + 1))
	done
	spawn workers "$build/standin-relay" $maps
}

fault () {
	curl -s -m 2 -o /dev/null "http://$(port 2)/fault?$1" || :
}

# signal NAME SIGNAL: to a process that may be gone.
signal () {
	kill "-$2" "$(pid "$1")" 2>/dev/null || :
}

# The series: a line for each fault, with the pause before it.
plan () {
	awk -v seed="$seed" -v seconds="$seconds" -v hosts="$hosts" \
		-v workers="$workers" 'BEGIN {
		srand(seed)
		n = split("kill kill term pause pause silent cut reset " \
			"workers_silent workers_cut workers_reset down " \
			"store_silent slow lose forget restart late all", kinds, " ")
		for (at = 2 + rand() * 2; at < seconds - 1; at += pause) {
			pause = rand() * 2.5
			printf "%.2f %s %d %.2f\n", at, kinds[1 + int(rand() * n)],
				int(rand() * 1000), 0.2 + rand() * rand() * 6
		}
	}'
}

# inject KIND NUMBER DURATION: returns at once; what lasts is ended later.
inject () {
	host=$(($2 % $hosts))
	ms=$(awk -v s="$3" 'BEGIN { printf "%d", s * 1000 }')
	case $1 in
	kill)
		signal "host$host" KILL
		start_host "$host"
		;;
	term)
		signal "host$host" TERM
		sleep 0.4
		signal "host$host" KILL
		start_host "$host"
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
		signal workers USR1
		;;
	workers_cut)
		signal workers USR2
		(sleep "$3"; signal workers HUP) &
		;;
	workers_reset)
		signal workers KILL
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
	late)
		fault "kind=late&ms=$ms&much=$(($2 % 60 + 10))"
		;;
	all)
		i=0
		while test $i -lt $hosts
		do
			signal "host$i" KILL
			start_host $i
			i=$(($i + 1))
		done
		;;
	esac
}

spawn platform "$build/soak-platform" --port "$base" \
	--reach $(($base + 30)) --workers "$workers"
start_worker_relay
sleep 0.2
for name in platform workers
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
	settings $i >"$work/host$i.yaml"
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
	--seconds "$seconds" --rate 25 >"$work/caller.log" 2>&1 &
caller=$!
pids="$pids $caller"

plan >"$work/plan"
began=$(date +%s%N)
while read -r at kind number duration
do
	now=$(date +%s%N)
	wait_s=$(awk -v at="$at" -v ms="$((($now - $began) / 1000000))" \
		'BEGIN { s = at - ms / 1000; printf "%.3f", (s > 0 ? s : 0) }')
	sleep "$wait_s"
	echo "$at $kind $number $duration" >>"$work/injected"
	inject "$kind" "$number" "$duration"
done <"$work/plan"

status=0
wait "$caller" || status=1
grep '^refused' "$work/caller.log" | while read -r _ id
do
	! grep -q "began $id" "$work/platform.log" ||
		echo "VIOLATION REFUSED $id began"
done >"$work/refused"
grep -h VIOLATION "$work/platform.log" "$work/caller.log" "$work/refused" \
	>"$work/violations" && status=1
echo "seed $seed: $(tail -n 1 "$work/caller.log")"
if test "$status" -ne 0
then
	head -n 20 "$work/violations"
	echo "seed $seed failed; logs are in $work"
	exit 1
fi
test -n "${3:-}" || rm -rf "$work"

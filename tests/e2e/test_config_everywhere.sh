#!/bin/sh
# Nine hosts in three domains, real processes: a change comes into force in all
# 18, also when entry hosts have just died, and a version that is in force stays
# through a restart and with the store gone. Times are printed; the verdict on the
# 2 s of the target is that of scripts/config/applied_everywhere, in virtual time.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
for domain in sapporo asahikawa hakodate
do
	for host in 1 2 3
	do
		cell_add_entry "$domain"
	done
	cell_add_worker "$domain" r1 8000 16000 0
done
cell_start_platform
cell_start_hosts
cell_entry=$(cell_port 110)
zr="$cell_build/zinniarack -e $cell_entry"
mkdir "$work/config"
cp "$cell_source"/examples/kitakaze/*.yaml "$work/config"
cell_until 20 cell_active_domains 3

# Every process states its version in its own counters.
metric () {
	curl -sf -m 1 "http://$(cell_port "$1")/metrics" |
		sed -n 's/^zinniarack_config_version //p'
}
in_force () {
	version=$1
	shift
	for port in "$@"
	do
		test "$(metric "$port")" = "$version" || return 1
	done
}
ports=
for i in 1 2 3 4 5 6 7 8 9
do
	ports="$ports $((100 + 10 * $i)) $((102 + 10 * $i))"
done

now_ms () {
	date +%s%3N
}

# within MS VERSION PORT...: all hold the version before that time is over.
within () {
	limit=$1
	shift
	begin=$(now_ms)
	until in_force "$@"
	do
		test $(($(now_ms) - $begin)) -le "$limit" || {
			echo "version $1 is not in force after $limit ms"
			$zr config where
			return 1
		}
	done
	echo "version $1 in force in $(($(now_ms) - $begin)) ms"
}

$zr config apply "$work/config" >/dev/null
within 10000 1 $ports

share () {
	sed -i "0,/share: .*/s//share: $1/" "$work/config/10-teams.yaml"
}
share 7
$zr config apply "$work/config" >/dev/null
within 10000 2 $ports

# The hosts that read the store for two domains are gone.
kill -KILL "$(cell_pid asahikawa-4.entry)" "$(cell_pid hakodate-7.entry)"
rest=$(echo "$ports" | sed 's/ 140 / /; s/ 170 / /')
share 8
$zr config apply "$work/config" >/dev/null
within 10000 3 $rest

# The store is gone; a restarted host takes the version that is in force.
kill -KILL "$(cell_pid platform)"
cell_spawn platform.hosts "$cell_build/standin-platform" \
	--store "$(cell_port 5)" --hosts "$(cell_port 2)" \
	--hosts-file "$cell_dir/hosts.json"
cell_spawn asahikawa-4.again "$cell_build/zinniarack-entryd" \
	"$work/asahikawa-4.yaml"
holds_none_or_3 () {
	held=$(metric 140 || echo 0)
	test "${held:-0}" -eq 0 -o "${held:-0}" -eq 3
}
tries=0
until test "$(metric 140)" = 3
do
	holds_none_or_3
	tries=$(($tries + 1))
	test "$tries" -lt 300
	sleep 0.05
done
holds_none_or_3
in_force 3 $rest
echo "test_config_everywhere: ok"

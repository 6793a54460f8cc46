#!/bin/sh
# Nine entry hosts in three failure domains, 18 real processes: all of them
# apply a new version of the configuration, also when entry daemons have just
# crashed. An applied version stays applied when the store fails, also on a host
# that restarts then. The measured times are only printed:
# scripts/config/applied_everywhere checks the target of 2 s in virtual time.
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

# applied_version PORT_OFFSET: the configuration version that a process has
# applied
applied_version () {
	curl -sf -m 1 "http://$(cell_port "$1")/metrics" |
		sed -n 's/^zinniarack_config_version //p'
}
is_applied () {
	version=$1
	shift
	for port in "$@"
	do
		test "$(applied_version "$port")" = "$version" || return 1
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

# wait_applied MS VERSION PORT_OFFSET...: wait until all have applied it
wait_applied () {
	limit_ms=$1
	shift
	started_ms=$(now_ms)
	until is_applied "$@"
	do
		test $(($(now_ms) - $started_ms)) -le "$limit_ms" || {
			echo "version $1 is not applied after $limit_ms ms"
			$zr config where
			return 1
		}
	done
	echo "version $1 applied in $(($(now_ms) - $started_ms)) ms"
}

$zr config apply "$work/config" >/dev/null
wait_applied 10000 1 $ports

set_share () {
	sed -i "0,/share: .*/s//share: $1/" "$work/config/10-teams.yaml"
}
set_share 7
$zr config apply "$work/config" >/dev/null
wait_applied 10000 2 $ports

# Crash the entry daemons that read the store on behalf of two domains.
kill -KILL "$(cell_pid asahikawa-4.entry)" "$(cell_pid hakodate-7.entry)"
remaining=$(echo "$ports" | sed 's/ 140 / /; s/ 170 / /')
set_share 8
$zr config apply "$work/config" >/dev/null
wait_applied 10000 3 $remaining

# The store fails; an entry daemon that restarts gets the applied version from
# its peers.
kill -KILL "$(cell_pid platform)"
cell_spawn platform.hosts "$cell_build/standin-platform" \
	--store "$(cell_port 5)" --hosts "$(cell_port 2)" \
	--hosts-file "$cell_dir/hosts.json"
cell_spawn asahikawa-4.again "$cell_build/zinniarack-entryd" \
	"$work/asahikawa-4.yaml"
has_none_or_3 () {
	applied=$(applied_version 140 || echo 0)
	test "${applied:-0}" -eq 0 -o "${applied:-0}" -eq 3
}
tries=0
until test "$(applied_version 140)" = 3
do
	has_none_or_3
	tries=$(($tries + 1))
	test "$tries" -lt 300
	sleep 0.05
done
has_none_or_3
is_applied 3 $remaining
echo "test_config_everywhere: ok"

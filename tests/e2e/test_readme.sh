#!/bin/sh
# Runs the commands for a first job from README.md, with other ports.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
base=${ZR_PORT:-21000}
work=$(mktemp -d)
pids=
stop_processes () {
	for pid in $pids
	do
		kill -TERM "$pid" 2>/dev/null || :
	done
	wait 2>/dev/null || :
	rm -rf "$work"
}
trap stop_processes EXIT
cp -r "$source/examples" "$source/charts" "$work"
ln -s "${ZR_BUILD:-$source/build}" "$work/build"
cd "$work"
# replace_ports FILE: print a file with each port 21NNN replaced by base + NNN
replace_ports () {
	awk -v base="$base" '{
		while (match($0, /(127\.0\.0\.1:|--base-port )21[0-9][0-9][0-9]/)) {
			port = substr($0, RSTART + RLENGTH - 3, 3)
			head = substr($0, RSTART, RLENGTH - 5)
			out = out substr($0, 1, RSTART - 1) head (base + port)
			$0 = substr($0, RSTART + RLENGTH)
		}
		print out $0
		out = ""
	}' "$1"
}
for file in settings.yaml hosts.json
do
	replace_ports "$source/examples/first/$file" >"examples/first/$file"
done
replace_ports "$source/README.md" | awk '/^```sh$/ {n++; on = 1; next}
	/^```$/ {on = 0} on {print >("block" n)}'

# Record the id of each background process, so that it can be stopped.
sed 's/ &$/ \& pids="$pids $!"/' block1 >begin
. ./begin
export ZINNIARACK_ENTRY=127.0.0.1:$(($base + 110))
tries=200
until build/zinniarack status 2>/dev/null | grep -q '"active":true'
do
	tries=$(($tries - 1))
	test $tries -gt 0
	sleep 0.05
done
. ./block2
. ./block3 >out
cat out
grep -q '"state":"succeeded".*the face fills the frame' out
echo "test_readme: ok"

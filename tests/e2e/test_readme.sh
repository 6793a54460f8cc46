#!/bin/sh
# The README's first job, as it stands there but for the ports.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
base=${ZR_PORT:-21000}
work=$(mktemp -d)
pids=
stop () {
	for pid in $pids
	do
		kill -TERM "$pid" 2>/dev/null || :
	done
	wait 2>/dev/null || :
	rm -rf "$work"
}
trap stop EXIT
cp -r "$source/examples" "$source/charts" "$work"
ln -s "${ZR_BUILD:-$source/build}" "$work/build"
cd "$work"
# 127.0.0.1:21NNN becomes base + NNN, in the files and in the commands.
move () {
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
	move "$source/examples/first/$file" >"examples/first/$file"
done
move "$source/README.md" | awk '/^```sh$/ {n++; on = 1; next}
	/^```$/ {on = 0} on {print >("block" n)}'

# Each command that the reader starts in the background is ended by its id.
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

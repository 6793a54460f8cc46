#!/bin/sh
# run-case.sh CASE FOLDER: runs a case and leaves record.txt in FOLDER. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
case=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
test -x target/zinniarack-celld || exit 2
test -x target/review/review-world || exit 2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout 118 target/review/review-world "$case" "$work" target/zinniarack-celld
result=$?
test -f "$work/record.txt" && mv "$work/record.txt" "$folder/record.txt"
test $result -le 1 || result=2
exit $result

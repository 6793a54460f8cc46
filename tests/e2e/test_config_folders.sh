#!/bin/sh
# Runs `zinniarack config check` on each folder of tests/scripts/config/*.cases,
# or a daemon on a case's settings.yaml, and holds exit code and output against
# what the case expects.
#
# A case: "=== NAME", its files after "--- FILE.yaml", and after "--- expected"
# the exit code and what is printed.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
build=${ZR_BUILD:-$source/build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

cat "$source"/tests/scripts/config/*.cases | awk -v work="$work" '
	/^=== / {
		folder = work "/" $2
		system("mkdir -p " folder)
		next
	}
	/^--- / { file = folder "/" $2; printf "" >file; next }
	{ print >file }'

cd "$work"
cases=0
failed=0
for folder in *
do
	{
		code=0
		if test -f "$folder/settings.yaml"
		then
			"$build/zinniarack-entryd" "$folder/settings.yaml" \
				2>&1 || code=$?
		else
			"$build/zinniarack" config check "$folder" 2>&1 ||
				code=$?
		fi
		echo "exit $code"
	} >"$work/actual"
	cases=$(($cases + 1))
	diff -u --label "$folder/expected" --label "$folder/actual" \
		"$folder/expected" "$work/actual" || failed=$(($failed + 1))
	rm -f "$work/actual"
done
echo "test_config_folders: $cases cases, $failed failed"
test "$failed" -eq 0 -a "$cases" -ge 12

#!/bin/sh
# Runs each case of tests/scripts/config/*.cases and compares its output and
# exit code with the expected ones. A case with a settings.yaml starts a daemon
# with these settings, the others run `zinniarack config check` on the case's
# folder.
#
# A case starts with "=== NAME". Its files follow, each after "--- FILE.yaml",
# and after "--- expected" the output and the exit code.
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

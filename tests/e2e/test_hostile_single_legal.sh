#!/bin/sh
# Refusal of legal requests: a single large body in calm, within the limits, is
# accepted by zinniarack-celld.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_cell
hostile_large_body "$HOSTILE_JOB"
for encoding in "Content-Length: $HOSTILE_BODY_BYTES" \
	"Transfer-Encoding: chunked"
do
	status=$(hostile_submit -m "$HOSTILE_WAIT_S" -H 'Expect:' -H "$encoding" \
		--data-binary @"$hostile_work/body")
	echo "$encoding: $status"
	test "$status" = 200 || hostile_fail "refused: $(cat "$hostile_work/answer")"
done
hostile_check_resources "after the bodies"
echo "ok"

#!/bin/sh
# Refusal of legal requests: a single large body in calm, within the limits,
# gets the answer of zinniarack-entryd that a small one gets.
set -eu
hostile_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$hostile_source/tests/hostile.sh"
hostile_start_entry
job='{"name":"a","queue":"reprints","kind":"batch","cpus":1,"command":"run 1 x"}'
hostile_large_body "$job"

# post CURL-ARGUMENT...: submit a job, print status and answer
post () {
	curl -s -m "$HOSTILE_WAIT_S" -w ' %{http_code}' -H 'Expect:' "$@" \
		"http://$hostile_http$hostile_path" || :
}

expected=$(post -d "$job")
echo "$expected"
for encoding in "Content-Length: $HOSTILE_BODY_BYTES" \
	"Transfer-Encoding: chunked"
do
	answer=$(post -H "$encoding" --data-binary @"$hostile_work/body")
	test "$answer" = "$expected" || hostile_fail "$encoding: $answer"
done
hostile_check_resources "after the bodies"
echo "ok"

# Tests with clients that do not behave; sourced by tests/e2e/test_hostile_*.sh.
# The script that sources it sets hostile_source, the root of the source tree,
# and calls:
#
# hostile_start_cell       start zinniarack-celld with limited resources
# hostile_start_entry      start zinniarack-entryd in the same way
# hostile_start_scheduler  start zinniarack-schedulerd in the same way
# hostile_run ARGUMENT...  run a crowd of standin-crowd and check the daemon
# hostile_fail TEXT        fail
#
# Checked is what doesn't depend on the speed of the machine: the daemon runs
# on, stays within its memory and descriptors, and answers an ordinary request
# while the crowd's connections are open, and again after they are closed.

# Limits of the daemon under test.
HOSTILE_ADDRESS_SPACE_KIB=98304
HOSTILE_MEMORY_MAX_KIB=65536
HOSTILE_DESCRIPTORS_MAX=256
# The crowd.
HOSTILE_CONNECTIONS=96
HOSTILE_BODY_BYTES=1000000
HOSTILE_BODY_LIMIT_BYTES=1048576
# An ordinary job of zinniarack-celld.
HOSTILE_JOB='{"task_spec":"250 50 0","steps":[{"count":1,"cpu":250,
	"mem_mb":64,"estimate_ms":400}]}'
# Gives up waiting for an answer, or for the crowd.
HOSTILE_WAIT_S=60

hostile_build=${ZR_BUILD:-$hostile_source/build}
hostile_port=$((${ZR_PORT:-27000} + 960))
hostile_work=$(mktemp -d)
hostile_pid=
hostile_pids=
trap hostile_stop EXIT
trap "exit 2" INT TERM

# AddressSanitizer reserves terabytes of address space, and its shadow memory
# counts as memory of the process.
hostile_is_sanitized=
! grep -q __asan_init "$hostile_build/zinniarack-celld" ||
	hostile_is_sanitized=yes

hostile_stop () {
	for process in $hostile_pids
	do
		kill -KILL "$process" 2>/dev/null || :
	done
	wait 2>/dev/null || :
	rm -rf "$hostile_work"
}

hostile_fail () {
	echo "$1"
	for log in daemon crowd platform
	do
		test ! -f "$hostile_work/$log.log" || {
			echo "$log:"
			tail -n 8 "$hostile_work/$log.log" | cut -c 1-300
		}
	done
	exit 1
}

# hostile_address OFFSET: address on loopback
hostile_address () {
	echo "127.0.0.1:$(($hostile_port + $1))"
}

# hostile_spawn NAME COMMAND...: start a process, with its output in NAME.log;
# sets spawned to its id
hostile_spawn () {
	spawn_name=$1
	shift
	"$@" >"$hostile_work/$spawn_name.log" 2>&1 &
	spawned=$!
	hostile_pids="$hostile_pids $spawned"
}

# hostile_limited COMMAND...: run a command with the limits of the daemon under
# test
hostile_limited () {
	test -n "$hostile_is_sanitized" ||
		ulimit -v "$HOSTILE_ADDRESS_SPACE_KIB"
	ulimit -n "$HOSTILE_DESCRIPTORS_MAX"
	exec "$@"
}

# hostile_start DAEMON: start the daemon under test and wait until it answers an
# ordinary request with hostile_ordinary_status
hostile_start () {
	hostile_spawn daemon hostile_limited "$hostile_build/$1" \
		"$hostile_work/settings.yaml"
	hostile_pid=$spawned
	# Nothing may be sent before the daemon has its ports, which another
	# process might use.
	until grep -q -s -E 'event (host|daemon)\.started' "$hostile_work/daemon.log"
	do
		hostile_check_alive "at its start"
		sleep 0.05
	done
	hostile_wait_answer "before the crowd"
}

# hostile_start_cell: start zinniarack-celld with a store, an adviser and two
# workers. An ordinary request submits a job of its own to it.
hostile_start_cell () {
	hostile_callers=$(hostile_address 10)
	hostile_readiness=$(hostile_address 11)
	hostile_peers=$(hostile_address 12)
	hostile_metrics=$(hostile_address 13)
	hostile_path=/q/0123456789abcdef
	cat >"$hostile_work/settings.yaml" <<-EOT
	name: host-1
	cell: main
	failure_domain: north
	store: $(hostile_address 0)
	adviser: $(hostile_address 1)
	listen:
	  callers: $hostile_callers
	  readiness: $hostile_readiness
	  peers: $hostile_peers
	  metrics: $hostile_metrics
	processors: 0.5
	log:
	  level: info
	EOT
	hostile_spawn_platform
	hostile_ordinary_status=200
	hostile_ordinary=hostile_submit
	hostile_start zinniarack-celld
}

hostile_spawn_platform () {
	hostile_spawn platform "$hostile_build/soak-platform" \
		--port "$hostile_port" --workers 2 \
		--body-bytes "$HOSTILE_BODY_LIMIT_BYTES"
	hostile_platform=$spawned
}

# hostile_end_platform: end the store, the adviser and the workers of
# zinniarack-celld; their connections are lost
hostile_end_platform () {
	kill -KILL "$hostile_platform"
	wait "$hostile_platform" 2>/dev/null || :
}

# hostile_submit [CURL-ARGUMENT...]: submit a job with a new id, print the HTTP
# status
hostile_submit () {
	test $# -gt 0 || set -- -m 10 -d "$HOSTILE_JOB"
	curl -s -o "$hostile_work/answer" -w '%{http_code}' \
		-H 'Host: q.example' -H 'Authorization: Bearer key-1' "$@" \
		"http://$hostile_callers/q/$(printf '%016x' "$(date +%s%N)")" || :
}

# hostile_write_entry_settings OFFSET: write the settings of an entry daemon and
# a scheduler, and start their store and host list; OFFSET is that of the HTTP
# port of the daemon under test
hostile_write_entry_settings () {
	hostile_http=$(hostile_address $1)
	hostile_rpc=$(hostile_address $(($1 + 1)))
	hostile_path=/v1/jobs
	cat >"$hostile_work/settings.yaml" <<-EOT
	name: north-1
	failure_domain: north
	store: $(hostile_address 0)
	host_list: $(hostile_address 1)
	charts: $hostile_source/charts
	entry:
	  http: $(hostile_address 10)
	  rpc: $(hostile_address 11)
	scheduler:
	  http: $(hostile_address 12)
	  rpc: $(hostile_address 13)
	log:
	  level: info
	EOT
	printf '{"hosts":[{"kind":"entry","name":"north-1","domain":"north","address":"%s","scheduler":"%s"}]}' \
		"$(hostile_address 11)" "$(hostile_address 13)" \
		>"$hostile_work/hosts.json"
	hostile_spawn platform "$hostile_build/standin-platform" \
		--store "$(hostile_address 0)" --hosts "$(hostile_address 1)" \
		--hosts-file "$hostile_work/hosts.json"
	hostile_ordinary_status=200
	hostile_ordinary=hostile_get
}

hostile_start_entry () {
	hostile_write_entry_settings 10
	hostile_ordinary_path=/v1/status
	hostile_start zinniarack-entryd
}

hostile_start_scheduler () {
	hostile_write_entry_settings 12
	hostile_ordinary_path=/metrics
	hostile_start zinniarack-schedulerd
}

# hostile_get: get a page of the daemon, print the HTTP status
hostile_get () {
	curl -s -m 10 -o "$hostile_work/answer" -w '%{http_code}' \
		"http://$hostile_http$hostile_ordinary_path" || :
}

# hostile_large_body JOB: write a job, padded with spaces to HOSTILE_BODY_BYTES,
# to the file "body"
hostile_large_body () {
	printf "%-${HOSTILE_BODY_BYTES}s" "$1" >"$hostile_work/body"
}

# hostile_wait_answer WHEN: repeat an ordinary request until it is answered
hostile_wait_answer () {
	until_s=$(($(date +%s) + $HOSTILE_WAIT_S))
	until test "$($hostile_ordinary)" = "$hostile_ordinary_status"
	do
		hostile_check_alive "$1"
		test "$(date +%s)" -lt "$until_s" ||
			hostile_fail "no answer to an ordinary request $1"
		sleep 0.2
	done
}

hostile_check_alive () {
	kill -0 "$hostile_pid" 2>/dev/null || {
		status=0
		wait "$hostile_pid" || status=$?
		hostile_fail "the daemon has ended $1, status $status"
	}
}

# hostile_check_resources WHEN: check memory and descriptors of the daemon
hostile_check_resources () {
	hostile_check_alive "$1"
	descriptors=$(ls "/proc/$hostile_pid/fd" | wc -l)
	peak_kib=$(awk '/^VmHWM/ { print $2 }' "/proc/$hostile_pid/status")
	echo "$1: VmHWM $peak_kib KiB, $descriptors descriptors"
	test "$descriptors" -le "$HOSTILE_DESCRIPTORS_MAX" ||
		hostile_fail "$descriptors open descriptors $1"
	test -n "$hostile_is_sanitized" ||
		test "$peak_kib" -le "$HOSTILE_MEMORY_MAX_KIB" ||
		hostile_fail "VmHWM $peak_kib KiB $1, bound $HOSTILE_MEMORY_MAX_KIB"
}

# hostile_run ARGUMENT...: run standin-crowd with these arguments against the
# daemon, whose connections stay open, and check the daemon
hostile_run () {
	hostile_spawn crowd "$hostile_build/standin-crowd" --stay \
		--connections "$HOSTILE_CONNECTIONS" --complete 10 \
		--reconnect 2 "$@"
	crowd=$spawned
	until_s=$(($(date +%s) + $HOSTILE_WAIT_S))
	until grep -q '^ready' "$hostile_work/crowd.log" ||
		test "$(date +%s)" -ge "$until_s"
	do
		kill -0 "$crowd" 2>/dev/null || hostile_fail "the crowd has ended"
		hostile_check_alive "while the crowd sends"
		sleep 0.1
	done
	hostile_check_resources "when the crowd has sent"
	hostile_wait_answer "while the crowd stays"
	hostile_check_resources "while the crowd stays"
	kill -TERM "$crowd"
	wait "$crowd" || :
	hostile_wait_answer "after the crowd"
	hostile_check_resources "after the crowd"
	cat "$hostile_work/crowd.log"
}

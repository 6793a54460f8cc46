# Functions shared by the failover tests; sourced after cell.sh. The script sets
# $work, the work folder.
#
# failover_start: start a failure domain with two entry hosts and two workers
#
# failover_active: print the name of the entry host whose scheduler is the owner
# of the failure domain
#
# failover_epoch: print the epoch (fencing token) of this ownership
#
# failover_has_new_owner EPOCH: whether there was a takeover since EPOCH
#
# failover_submit NAME MS [FIELDS]: submit a job once; NAME is its idempotency
# key and its result, FIELDS is JSON that ends with a comma
#
# failover_accepted NAME MS [FIELDS]: like failover_submit, and record the id of
# an accepted job, also in $id; fails otherwise, for use with cell_until
#
# failover_check: check that every accepted job succeeded and was started once

failover_start () {
	cell_add_entry sohar
	cell_add_entry sohar
	cell_add_worker sohar r1 16000 32000 0
	cell_add_worker sohar r2 16000 32000 0
	cell_start_platform
	cell_start_hosts
	cell_entry=$(cell_port 110)
	zr="$cell_build/zinniarack -e $cell_entry"
	cell_until 10 cell_active_domains 1
	mkdir "$work/config"
	cp "$cell_source"/examples/majan/*.yaml "$work/config"
	# This cell has one failure domain, the home of every idempotency key.
	sed -i -e '/name: muscat/d' -e '/name: nizwa/d' \
		"$work/config/10-teams.yaml"
	ZINNIARACK_KEY=$($zr key new k1 claims "$work/config/30-key.yaml")
	export ZINNIARACK_KEY
	$zr config apply "$work/config"
	: >"$work/jobs"
	cell_until 10 failover_accepted first 10
}

# Prints the highest epoch of an active scheduler and its host: `EPOCH NAME`.
failover_owner () {
	$zr status | tr '{' '\n' | grep '"active":true' |
		sed 's/.*"name":"\([^"]*\)".*"epoch":\([0-9]*\).*/\2 \1/' |
		sort -n | tail -n 1
}

failover_active () {
	failover_owner | cut -d' ' -f2
}

failover_epoch () {
	failover_owner | cut -d' ' -f1
}

failover_has_new_owner () {
	epoch=$(failover_epoch)
	test "${epoch:-0}" -gt "$1"
}

failover_submit () {
	printf '{"name":"%s","queue":"reclaims","kind":"batch","cpus":0.1,"idempotency_key":"%s",%s"command":"run %s %s"}' \
		"$1" "$1" "${3:-}" "$2" "$1" | $zr submit - 2>/dev/null ||
		:
}

failover_accepted () {
	id=$(failover_submit "$@" | grep -o '"id":"[^"]*"' | cut -d'"' -f4)
	test -n "$id" || return 1
	echo "$id $1" >>"$work/jobs"
}

failover_ended () {
	$zr job wait "$1" | grep -q '"state":"succeeded"'
}

# A submission may have been accepted twice under its key: both answers must
# name the same job, which ran once.
failover_check () {
	sort -u "$work/jobs" >"$work/jobs.unique"
	cut -d' ' -f2 "$work/jobs.unique" | sort | uniq -d | grep . && {
		echo "two jobs have the same idempotency key" >&2
		return 1
	}
	while read -r id name
	do
		cell_until 30 failover_ended "$id"
		runs=$(grep -c "^start $id/" "$work/ledger")
		test "$runs" -eq 1 || {
			echo "$name ($id) was started $runs times" >&2
			return 1
		}
	done <"$work/jobs.unique"
	# Every job that was started is one whose acceptance a client received.
	sed -n 's/^start \([^/]*\)\/.*/\1/p' "$work/ledger" | sort -u \
		>"$work/started"
	cut -d' ' -f1 "$work/jobs.unique" | sort -u | diff - "$work/started"
	echo "$(wc -l <"$work/jobs.unique") jobs, each was started once"
}

# What the tests of fail-over share; sourced after cell.sh.
#
# failover_start            a domain of two entry hosts and two workers
# failover_active           name of the entry host whose scheduler is active
# failover_epoch            its epoch
# failover_submit NAME MS [FIELDS]   submit once; NAME is key and result
# failover_accepted NAME MS [FIELDS] submit until it is accepted; sets $id
# failover_check            every accepted job ended well and ran once

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
	# One failure domain, which is then the home of every key.
	sed -i -e '/name: muscat/d' -e '/name: nizwa/d' \
		"$work/config/10-teams.yaml"
	ZINNIARACK_KEY=$($zr key new k1 claims "$work/config/30-key.yaml")
	export ZINNIARACK_KEY
	$zr config apply "$work/config"
	: >"$work/jobs"
	cell_until 10 failover_accepted first 10
}

# The highest epoch that is known, and the host that holds it: `EPOCH NAME`.
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

# failover_passed EPOCH: whether a later owner is known
failover_passed () {
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

# A key may have been answered twice; it must have made one job that ran once.
failover_check () {
	sort -u "$work/jobs" >"$work/jobs.unique"
	cut -d' ' -f2 "$work/jobs.unique" | sort | uniq -d | grep . && {
		echo "a key made two jobs" >&2
		return 1
	}
	while read -r id name
	do
		cell_until 30 failover_ended "$id"
		runs=$(grep -c "^start $id/" "$work/ledger")
		test "$runs" -eq 1 || {
			echo "$name ($id) began $runs times" >&2
			return 1
		}
	done <"$work/jobs.unique"
	# Nothing ran that nobody was told of.
	sed -n 's/^start \([^/]*\)\/.*/\1/p' "$work/ledger" | sort -u \
		>"$work/begun"
	cut -d' ' -f1 "$work/jobs.unique" | sort -u | diff - "$work/begun"
	echo "$(wc -l <"$work/jobs.unique") jobs, each ran once"
}

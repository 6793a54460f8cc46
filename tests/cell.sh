# Runs a cell of real processes on loopback for tests and the demo; sourced. The
# script that sources it sets cell_source, the root of the source tree, and
# calls:
#
# cell_init DIR BUILD BASE_PORT    set the work folder, build folder and ports
# cell_add_entry, cell_add_worker  add entry hosts and workers, see below
# cell_start_platform              start store, host list and workers
# cell_start_hosts                 start the daemons of the entry hosts
# cell_stop                        kill every process that was started, by id
#
# Ports: BASE+1 store, BASE+2 host list, BASE+10+2*k relay k, BASE+100+10*i
# entry host i, BASE+400+j worker j; i and k count from 1, j from 0.

# Credential of the operator that the settings of every entry host list.
ZINNIARACK_OPERATOR_KEY=cell-operator.7e7e7e7e7e7e7e7e7e7e7e7e7e7e7e7e7e7e7e7e7e7e7e7e
export ZINNIARACK_OPERATOR_KEY

# cell_init DIR BUILD BASE_PORT: DIR gets the logs, the process ids, the ledger
# of the worker stand-in, and hosts.records, the host list with one JSON object
# per line
cell_init () {
	cell_dir=$1
	cell_build=$2
	cell_base=$3
	cell_entry_count=0
	cell_worker_count=0
	cell_relay_count=0
	cell_pids=
	mkdir -p "$cell_dir"
	: >"$cell_dir/hosts.records"
	: >"$cell_dir/ledger"
}

# cell_port OFFSET: address BASE+OFFSET on loopback
cell_port () {
	echo "127.0.0.1:$(($cell_base + $1))"
}

# Replaces the host list atomically, so that no reader sees a part of it.
cell_write_hosts () {
	{
		printf '{"hosts":['
		paste -sd, "$cell_dir/hosts.records"
		printf ']}'
	} >"$cell_dir/hosts.tmp"
	mv "$cell_dir/hosts.tmp" "$cell_dir/hosts.json"
}

# cell_add_entry DOMAIN: add entry host NAME, which is DOMAIN-i, and write its
# settings to NAME.yaml
cell_add_entry () {
	cell_entry_count=$(($cell_entry_count + 1))
	offset=$((100 + 10 * $cell_entry_count))
	name=$1-$cell_entry_count
	# Port offset of the store, or of the relay to it.
	eval "platform=\${cell_platform_$1:-1}"
	cat >"$cell_dir/$name.yaml" <<-EOF
	name: $name
	failure_domain: $1
	store: $(cell_port $platform)
	host_list: $(cell_port $(($platform + 1)))
	charts: $cell_source/charts
	entry:
	  http: $(cell_port $offset)
	  rpc: $(cell_port $(($offset + 1)))
	scheduler:
	  http: $(cell_port $(($offset + 2)))
	  rpc: $(cell_port $(($offset + 3)))
	log:
	  level: info
	operators:
	  - id: cell-operator
	    salt: 5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a
	    sha256: 9dc323b07d8cf4ebae049303deaed32f808a52da134eb35f7de775b6a7bef062
	EOF
	printf '{"kind":"entry","name":"%s","domain":"%s","address":"%s","scheduler":"%s"}\n' \
		"$name" "$1" "$(cell_port $(($offset + 1)))" \
		"$(cell_port $(($offset + 3)))" >>"$cell_dir/hosts.records"
}

# cell_add_relay DOMAIN: start a relay, process relay.DOMAIN, between the
# platform and the entry hosts of DOMAIN that are added afterwards. Signals to
# it cut the domain off from the platform, see tests/standins/relay.c.
cell_add_relay () {
	cell_relay_count=$(($cell_relay_count + 1))
	offset=$((10 + 2 * $cell_relay_count))
	eval "cell_platform_$1=$offset"
	cell_spawn "relay.$1" "$cell_build/standin-relay" \
		"$(cell_port $offset)=$(cell_port 1)" \
		"$(cell_port $(($offset + 1)))=$(cell_port 2)"
}

# cell_add_worker DOMAIN RACK MILLICPUS MEMORY_MB ACCELERATORS: add a worker to
# the host list; the first one is w1
cell_add_worker () {
	port=$(($cell_base + 400 + $cell_worker_count))
	cell_worker_count=$(($cell_worker_count + 1))
	printf '{"kind":"worker","name":"w%d","domain":"%s","rack":"%s","address":"127.0.0.1:%d","millicpus":%d,"memory_mb":%d,"accelerators":%d,"slots":8}\n' \
		"$cell_worker_count" "$1" "$2" "$port" "$3" "$4" "$5" \
		>>"$cell_dir/hosts.records"
}

# cell_spawn NAME COMMAND...: start a process; its id is written to NAME.pid,
# its output to NAME.out and NAME.log
cell_spawn () {
	spawn_name=$1
	shift
	"$@" >"$cell_dir/$spawn_name.out" 2>"$cell_dir/$spawn_name.log" &
	echo $! >"$cell_dir/$spawn_name.pid"
	cell_pids="$cell_pids $!"
}

# cell_start_platform: start the store, the host list and the workers
cell_start_platform () {
	cell_write_hosts
	cell_spawn platform "$cell_build/standin-platform" \
		--store "$(cell_port 1)" --hosts "$(cell_port 2)" \
		--hosts-file "$cell_dir/hosts.json"
	cell_spawn workers "$cell_build/standin-worker" \
		--base-port $(($cell_base + 400)) \
		--count "$cell_worker_count" --ledger "$cell_dir/ledger"
	cell_until 5 curl -sf "http://$(cell_port 2)/v1/hosts"
	for name in platform workers
	do
		kill -0 "$(cell_pid $name)" || {
			echo "$name did not start; are its ports in use?" >&2
			cat "$cell_dir/$name.log" >&2
			return 1
		}
	done
}

# cell_start_host NAME: start both daemons of an entry host
cell_start_host () {
	cell_spawn "$1.scheduler" "$cell_build/zinniarack-schedulerd" \
		"$cell_dir/$1.yaml"
	cell_spawn "$1.entry" "$cell_build/zinniarack-entryd" \
		"$cell_dir/$1.yaml"
}

cell_start_hosts () {
	for settings in "$cell_dir"/*-[0-9]*.yaml
	do
		cell_start_host "$(basename "$settings" .yaml)"
	done
}

# cell_pid NAME: id of a process that cell_spawn started
cell_pid () {
	cat "$cell_dir/$1.pid"
}

# cell_until SECONDS COMMAND...: repeat a command until it succeeds or the time,
# not counting the command's own, is over
cell_until () {
	tries=$(($1 * 20))
	shift
	while test $tries -gt 0
	do
		"$@" >/dev/null 2>&1 && return 0
		tries=$(($tries - 1))
		sleep 0.05
	done
	echo "timed out waiting for: $*" >&2
	return 1
}

# cell_active_domains N: whether exactly N schedulers are active according to
# the entry host at $cell_entry
cell_active_domains () {
	test "$("$cell_build/zinniarack" -e "$cell_entry" status |
		grep -o '"active":true' | wc -l)" -eq "$1"
}

# cell_schedulers_configured VERSION: whether every active scheduler has applied
# this version of the configuration, according to the entry host at $cell_entry
cell_schedulers_configured () {
	"$cell_build/zinniarack" -e "$cell_entry" --json status |
		tr '{' '\n' | grep '"active":true' >"$cell_dir/active"
	test -s "$cell_dir/active" &&
		! grep -v "\"config_version\":$1[,}]" "$cell_dir/active"
}

# cell_config_version ADDRESS VERSION: whether the entry host at ADDRESS has
# applied this version of the configuration
cell_config_version () {
	"$cell_build/zinniarack" -e "$1" status |
		grep -q "\"config_version\":$2"
}

cell_stop () {
	for pid in $cell_pids
	do
		kill -KILL "$pid" 2>/dev/null || :
	done
	wait 2>/dev/null || :
}

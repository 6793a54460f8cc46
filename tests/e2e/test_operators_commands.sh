#!/bin/sh
# The operators' command line on a cell with two failure domains: permissions,
# each subcommand, granting and withdrawing a key, draining a worker, declared
# jobs, and the recovery of a lost failure domain.
set -eu
cell_source=$(cd "$(dirname "$0")/../.." && pwd)
. "$cell_source/tests/cell.sh"
work=$(mktemp -d)
cell_init "$work" "${ZR_BUILD:-$cell_source/build}" "${ZR_PORT:-21000}"
trap 'cell_stop; rm -rf "$work"' EXIT
cell_add_entry sapporo
cell_add_entry hakodate
cell_add_worker sapporo r1 8000 16000 0
cell_add_worker sapporo r2 8000 16000 0
cell_add_worker hakodate r1 8000 16000 0
cell_start_platform
cell_start_hosts
cell_entry=$(cell_port 110)
other=$(cell_port 120)
zr="$cell_build/zinniarack -e $cell_entry"
folder=$work/config
mkdir "$folder"

# expect CODE COMMAND...: check the exit code of a command; its output is in out
expect () {
	expected_code=$1
	shift
	got=0
	"$@" >"$work/out" 2>&1 || got=$?
	test "$got" -eq "$expected_code" && return 0
	echo "exit code $got, expected $expected_code: $*"
	cat "$work/out"
	return 1
}

# expect_output TEXT: check that the last command of expect printed a text
expect_output () {
	grep -q -- "$1" "$work/out" && return 0
	echo "output lacks: $1"
	cat "$work/out"
	return 1
}

cat >"$folder/10-base.yaml" <<-EOT
failure_domains:
  - name: sapporo
  - name: hakodate
teams:
  - name: booths
    share: 1
  - name: reprints
    share: 1
    limit:
      millicpus: 4000
queues:
  - name: any
jobs:
  - name: faces
    team: booths
    queue: any
    kind: service
    cpus: 0.5
    command: serve 5
    failure_domains: [sapporo, hakodate]
EOT
cell_until 10 cell_active_domains 2

# Only operators may change the configuration or see the hashes of keys.
expect 1 env -u ZINNIARACK_OPERATOR_KEY $zr config apply "$folder"
expect_output '"error":"unauthorized"'
expect 0 $zr config diff "$folder"
expect_output 'teams *booths *added'
expect 0 $zr config apply "$folder"
expect_output '"version":1'
expect 0 $zr key grant booth1 booths "$folder"
booth=$(tail -n 1 "$work/out")
expect 0 $zr key grant reprint1 reprints "$folder"
reprint=$(tail -n 1 "$work/out")
cell_until 5 cell_config_version "$cell_entry" 3
cell_until 5 cell_config_version "$other" 3
expect 1 $zr -o "$booth" config apply "$folder"
expect_output '"error":"forbidden"'
expect 1 $zr -o "$booth" config show
expect 1 $zr -o "$booth.wrong" config show
expect_output '"error":"unauthorized"'
expect 0 $zr config show
expect_output 'id: booth1'
curl -s "http://$cell_entry/v1/status" "http://$cell_entry/metrics" |
	grep -E 'salt|sha256|booth1' && exit 1
grep -hE "${booth#*.}|${ZINNIARACK_OPERATOR_KEY#*.}" "$work"/*.log && exit 1

# A declared job has one instance in each failure domain, which only an apply
# that changes its declaration replaces.
has_declared_tasks () {
	test "$($zr --json jobs | tr '{' '\n' | grep '"name":"faces"' |
		grep -c "\"state\":\"running\",.*\"tasks\":$1")" -eq 2
}
cell_until 10 has_declared_tasks 1
sed -i 's/    cpus: 0.5/    tasks: 2\n    cpus: 0.5/' "$folder/10-base.yaml"
expect 0 $zr config apply "$folder"
cell_until 10 has_declared_tasks 2
test "$($zr --json jobs | grep -o '"name":"faces"' | wc -l)" -eq 4

# Subcommands that only read.
expect 0 $zr teams
expect_output '^booths  *1 '
expect 0 $zr queues
expect_output '^any '
expect 0 $zr workers hakodate
expect_output '^w3  *r1  *up'
expect 0 $zr domains
expect_output '^hakodate  *hakodate-2 '
expect 0 $zr config where
expect_output '^entry  *hakodate-2 .* 4$'
expect_output '^scheduler  *sapporo-1 .* 4$'
expect 0 $zr config history
expect_output '^4  *cell-operator'
expect 0 $zr counters config
expect_output 'zinniarack_config_version'
expect 0 $zr --json teams
expect_output '"name":"booths"'

# A team can't access another team's job, an operator can access every job.
id=$(printf '{"name":"slow","queue":"any","kind":"batch","cpus":1,
	"command":"run 60000 late"}' | $zr -k "$booth" submit - |
	sed 's/.*"id":"\([^"]*\)".*/\1/')
for path in show wait explain cancel
do
	expect 1 $zr -k "$reprint" job $path "$id"
	expect_output '"error":"not_found"'
done
expect 0 $zr -k "$reprint" job list
grep -q "$id" "$work/out" && exit 1
expect 0 $zr jobs
expect_output "$id"
expect 0 $zr explain "$id"
expect_output '^workers that fit: [0-9]'
expect 0 $zr --json explain "$id"
expect_output '"workers_fitting":'
expect 0 $zr cancel "$id"
expect_output "\"id\":\"$id\""
expect 1 $zr cancel sapporo-1-999999
expect_output '"error":"not_found"'

# Of two concurrent changes by operators, the second one is refused with the
# difference that the first one made.
(
	expected=$($zr --json config history | grep -o '"version":[0-9]*' |
		tail -n 1 | cut -d: -f2)
	$zr config show >"$work/stale.yaml"
	expect 0 $zr drain w3
	code=$(curl -s -o "$work/out" -w '%{http_code}' -X PUT \
		-H "Authorization: Bearer $ZINNIARACK_OPERATOR_KEY" \
		--data-binary @"$work/stale.yaml" \
		"http://$cell_entry/v1/config?expected=$expected")
	test "$code" -eq 409
	expect_output '"error":"conflict"'
	expect_output '"author":"cell-operator"'
	expect_output '"section":"drained","name":"w3","difference":"added"'
	expect 0 $zr undrain w3
)

# A check against the cell finds a drained worker that does not exist, and shows
# what differs from the applied configuration.
expect 0 $zr config check --applied "$folder"
cat >"$folder/90-drained.yaml" <<-EOT
drained:
  - name: w1
  - name: w99
EOT
expect 3 $zr config check --applied "$folder"
expect_output 'no effect: .*90-drained.yaml:3: .* no failure domain has a worker .w99.'
expect_output '^drained  *w1  *added'
rm "$folder/90-drained.yaml"

# A drained worker gets no new tasks; after undrain it is up again.
expect 0 $zr drain w1 "$folder"
worker_is () {
	$zr workers sapporo | grep -q "^$1 .* $2 "
}
cell_until 5 worker_is w1 leaving
w1_start="^start .* $(cell_port 400) "
grep -q "$w1_start" "$work/ledger"
starts=$(grep -c "$w1_start" "$work/ledger")
for i in 1 2 3 4
do
	printf '{"name":"b%d","queue":"any","kind":"batch","cpus":1,
		"command":"run 10 x"}' $i | $zr -k "$booth" submit - |
		sed 's/.*"id":"\([^"]*\)".*/\1/' >"$work/id"
	$zr -k "$booth" job wait "$(cat "$work/id")" | grep -q succeeded
done
test "$(grep -c "$w1_start" "$work/ledger")" -eq "$starts"
expect 0 $zr undrain w1 "$folder"
cell_until 5 worker_is w1 up

# The other host refuses a withdrawn key within 5 s.
can_read_jobs () {
	curl -sf -o "$work/out" -H "Authorization: Bearer $booth" \
		"http://$other/v1/jobs"
}
cannot_read_jobs () {
	! can_read_jobs
}
can_read_jobs
expect 0 $zr key withdraw booth1 "$folder"
cell_until 5 cannot_read_jobs
expect 1 $zr -e "$other" -k "$booth" job list
expect_output '"error":"unauthorized"'

# An invalid folder changes nothing (exit code 3). Wrong usage is exit code 2,
# an unreachable daemon exit code 4.
version=$(curl -s "http://$cell_entry/v1/status" |
	grep -o '^{[^[]*' | grep -o '"config_version":[0-9]*')
echo 'teams: [{name: booths, share: 2}]' >"$folder/99-double.yaml"
expect 3 $zr config apply "$folder"
expect_output 'conflict: .*99-double.yaml:1: teams .booths. is declared in .*10-base.yaml:5'
rm "$folder/99-double.yaml"
expect 3 $zr drain 'a/b' "$folder"
expect 2 $zr drain
expect 2 $zr nonsense
expect 2 $zr --nonsense
expect 4 $zr -e 127.0.0.1:1 teams
curl -s "http://$cell_entry/v1/status" | grep -q "$version"

# A declared job that is removed from the folder ends in every failure domain.
cat >"$folder/96-no-faces.yaml" <<-EOT
jobs:
  - name: faces
    remove: true
EOT
expect 0 $zr config apply "$folder"
faces_have_ended () {
	! $zr --json jobs | tr '{' '\n' | grep '"name":"faces"' |
		grep -E '"state":"(running|waiting|parked)"'
}
cell_until 10 faces_have_ended

# Only an operator can have the jobs of a lost failure domain recovered.
expect 2 $zr recover hakodate
expect 1 $zr recover hakodate --lost
expect_output '"error":"state"'
expect 1 $zr -o "$reprint" recover hakodate --lost
expect_output '"error":"forbidden"'
kill -KILL "$(cell_pid hakodate-2.scheduler)" "$(cell_pid hakodate-2.entry)"
recovered () {
	$zr recover hakodate --lost >"$work/out"
}
cell_until 10 recovered || { cat "$work/out"; exit 1; }
expect_output '"recovered":"hakodate"'
expect 1 $zr recover nowhere --lost
expect_output '"error":"not_found"'
echo "test_operators_commands: ok"

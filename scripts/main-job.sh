#!/bin/bash
# Runs the main job on one machine: starts a mesh, puts a change in force, sends calls through the proxies, and kills
# the leader before a second change is due.  Installs missing packages and builds first.  Prints the result last; exit
# status 1 when a check failed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh >&2
make -s -j"$(nproc)" all >&2
. scripts/mesh.sh

vms=(tabla-1 tabla-2 sorompo-1 sorompo-2 konvoj-1 konvoj-2)

# Prints and runs a command of carawayctl as an operator: operator's name, arguments.
operator() {
	local name=$1
	shift
	echo "\$ carawayctl --config=$name.ini $*"
	ctl_as "$name" "$@" 2>>"$mesh_folder/operators.log"
}

# Succeeds when every proxy reports the configuration in force.
all_current() {
	ctl inforce | grep -q "^${#vms[@]} selected: ${#vms[@]} current"
}

# Prints the exit status of a command, whose output is discarded.
exit_status() {
	local status=0
	"$@" >/dev/null 2>&1 || status=$?
	echo "$status"
}

echo "== Three control replicas"
mesh_make_keys
for id in 1 2 3; do
	mesh_make_control "$id"
	mesh_start_control "$id"
done
mesh_await "a leader" mesh_leader
ctl status

echo "== Six targets, a proxy beside each"
mesh_start_vm tabla-1 11 tabla miskolc
mesh_start_vm tabla-2 12 tabla eger
mesh_start_vm sorompo-1 13 sorompo salgotarjan
mesh_start_vm sorompo-2 14 sorompo ozd
mesh_start_vm konvoj-1 15 konvoj miskolc
mesh_start_vm konvoj-2 16 konvoj ozd
mesh_await "the reports of every proxy" all_current

echo "== A change due now"
cd examples/changes
operator ilona book closures.ini --number=1 --due=now
operator bence review 1 --wait=30
operator ilona inforce

echo "== Repeated change numbers, and access control"
operator ilona book closures.ini --number=1 --due=now
check "exit status of other content under the same number" 6 \
	"$(exit_status ctl_as ilona book convoys.ini --number=1 --due=now)"
check "exit status of booking with a reviewer's key" 20 \
	"$(exit_status ctl_as bence book convoys.ini --number=3 --due=now)"
check "exit status of a query without a key" 13 \
	"$(exit_status "$mesh_programs/carawayctl" --control="$mesh_network.1:17101" --timeout=1 status)"

echo "== Calls through the proxies"
check "GET /board at konvoj-1" 200 "$(mesh_call konvoj-1 /board)"
check "POST /barrier at tabla-1" 200 \
	"$(mesh_call tabla-1 /barrier/3 -d close -H 'X-Request-Id: order-17' -H 'Idempotency-Key: order-17')"
check "executions of the barrier order" 1 "$(mesh_executions order-17 sorompo-1 sorompo-2)"
check "GET /convoy at tabla-1" 404 "$(mesh_call tabla-1 /convoy)"

echo "== A change for two proxies, due in 10 seconds; the leader is killed before it is due"
operator ilona label tabla-1 track=convoy
operator ilona label sorompo-2 track=convoy
operator ilona book convoys.ini --number=2 --due=+10s
operator bence review 2
leader=$(mesh_leader)
mesh_end "control-$leader" KILL || true
echo "killed the leader"
operator bence review 2 --wait=60
mesh_await "the version in force at every proxy" all_current
operator ilona inforce
operator ilona changes
for vm in "${vms[@]}"; do
	expected=404
	if [ "$vm" = tabla-1 ] || [ "$vm" = sorompo-2 ]; then
		expected=200
	fi
	check "GET /convoy at $vm" "$expected" "$(mesh_call "$vm" /convoy)"
done

echo "== Planned stop"
for vm in "${vms[@]}"; do
	status=0
	mesh_end "$vm" TERM || status=$?
	check "exit status of $vm" 0 "$status"
	mesh_end "target-$vm" TERM || true
done
for id in 1 2 3; do
	if [ "$id" != "$leader" ]; then
		status=0
		mesh_end "control-$id" TERM || status=$?
		check "exit status of a control replica" 0 "$status"
	fi
done

if [ "$failures" -eq 0 ]; then
	echo "main job: passed"
else
	echo "main job: $failures checks failed"
	exit 1
fi

#!/bin/bash
# Tests the repair of control replicas in separate processes: one loses its data folder, and right after its repair a
# second one does; then the leader is frozen for longer than its lease.  An accepted change must survive all of it.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/mesh.sh

# Succeeds when all three replicas are voters that the leader can reach.
all_vote() {
	[ "$(ctl status | awk '$3 == "yes" && $5 == "yes"' | wc -l)" -eq 3 ]
}

# Succeeds when a replica has become a voter since its folder and log were removed.  Until the leader has replaced the
# lost replica, the leader's status may still list that one as a voter.
is_voter_again() {
	grep -q '"role":"follower"' "$mesh_folder/control-$1.log"
}

# Prints the state of a change, as the leader reports it.
change_state() {
	ctl show "$1" | awk '$1 == "state" { print $2 }'
}

# Kills a replica and removes its data folder and log.
kill_and_remove_folder() {
	mesh_end "control-$1" KILL || true
	rm -rf "$mesh_folder/data-$1" "$mesh_folder/control-$1.log"
}

mesh_make_keys
for id in 1 2 3; do
	mesh_make_control "$id"
	mesh_start_control "$id"
done
mesh_await "a leader" mesh_leader
mesh_await "three votes" all_vote

cd examples/changes
ctl_as ilona book closures.ini --number=1 --due=+1h >/dev/null
ctl_as bence review 1 >/dev/null
cd ../..
check "the change" accepted "$(change_state 1)"

leader=$(mesh_leader)
replica=$((leader % 3 + 1))
kill_and_remove_folder "$replica"
mkdir "$mesh_folder/data-$replica"
mesh_start_control "$replica"
mesh_await "the vote of the repaired replica" is_voter_again "$replica"
mesh_await "three votes after the first repair" all_vote
check "the change after the first loss" accepted "$(change_state 1)"

# The second replica to lose its folder is the leader.  Its new folder is formatted as for a first start, by mistake, so
# that the replica must renew its identity; that of the first was left empty, as carawayd(1) requires.
replica=$(mesh_leader)
kill_and_remove_folder "$replica"
mesh_make_control "$replica" >/dev/null
mesh_await "a new leader" mesh_leader
check "the change after the second loss" accepted "$(change_state 1)"
mesh_start_control "$replica"
mesh_await "the vote of the second repaired replica" is_voter_again "$replica"
mesh_await "three votes after the second repair" all_vote
check "the change after the second repair" accepted "$(change_state 1)"
check "formatted folders with a renewed identity" 1 \
	"$(cat "$mesh_folder"/control-*.log | grep -c identity-renewed)"

frozen=$(mesh_leader)
kill -STOP "${mesh_pids[control-$frozen]}"
sleep 3
successor=$(mesh_leader)
kill -CONT "${mesh_pids[control-$frozen]}"
mesh_await "three votes after the freeze" all_vote
check "the frozen leader is deposed" yes "$([ "$frozen" != "$successor" ] && echo yes)"
check "the change after the freeze" accepted "$(change_state 1)"
exit "$failures"

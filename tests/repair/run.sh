#!/bin/bash
# Control replicas as separate processes: one loses its data folder, and right after its repair a second one does;
# then the leader is frozen past its lease.  What was accepted stays throughout.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/mesh.sh

# Succeeds when every replica votes and is reached by the leader.
all_vote() {
	[ "$(ctl status | awk '$3 == "yes" && $5 == "yes"' | wc -l)" -eq 3 ]
}

# Succeeds when a replica has a vote since its folder was lost; before, the old one's row may still stand.
votes_again() {
	grep -q '"role":"follower"' "$mesh_folder/control-$1.log"
}

# Prints the state of a change, asked of the leader.
change_state() {
	ctl show "$1" | awk '$1 == "state" { print $2 }'
}

# Kills a replica and takes its data folder and log away.
lose_folder() {
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

first=$(mesh_leader)
lost=$((first % 3 + 1))
lose_folder "$lost"
mkdir "$mesh_folder/data-$lost"
mesh_start_control "$lost"
mesh_await "the vote of the repaired replica" votes_again "$lost"
mesh_await "three votes after the first repair" all_vote
check "the change after the first loss" accepted "$(change_state 1)"

# The second one is the leader, and its folder is formatted as for the first start.
lost=$(mesh_leader)
lose_folder "$lost"
mesh_make_control "$lost" >/dev/null
mesh_await "a successor" mesh_leader
check "the change after the second loss" accepted "$(change_state 1)"
mesh_start_control "$lost"
mesh_await "the vote of the second repaired replica" votes_again "$lost"
mesh_await "three votes after the second repair" all_vote
check "the change after the second repair" accepted "$(change_state 1)"
check "formatted folders that gave up their identity" 1 \
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

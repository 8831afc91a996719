#!/bin/bash
# Measures convergence with real processes on one machine: from the activation of a change at the leader until the last
# proxy uses it, and from the restart of all proxies, killed together, until the last one is current.  Prints one JSON
# object; fails if a proxy does not become current.
# Usage: bench/feed_processes.sh [PROXIES]
set -euo pipefail
cd "$(dirname "$0")/.."
make -s -j"$(nproc)" all >&2
. scripts/mesh.sh

proxies=${1:-24}
changes=10
zones=(miskolc eger salgotarjan ozd)
services=(tabla sorompo konvoj)

# Succeeds if every proxy is current.
all_current() {
	ctl inforce | grep -q "^$proxies selected: $proxies current"
}

# Prints the time of day in ms and a field of each log line of an event: EVENT, FIELD, FILE...
event_times() {
	local event=$1 field=$2
	shift 2
	sed -n "s/.*T\\(..\\):\\(..\\):\\(..\\)\\.\\(...\\)Z.*\"event\":\"$event\".*\"$field\":\\([0-9]*\\).*/\\1 \\2 \\3 \\4 \\5/p" "$@" |
		awk '{ print (($1 * 60 + $2) * 60 + $3) * 1000 + $4, $5 }'
}

# Prints, sorted, the times in ms from each activation until the last proxy used the version.
print_convergence_times() {
	local version
	for version in $(event_times activated version "$mesh_folder"/control-*.log | awk '{ print $2 }' | sort -u); do
		begin=$(event_times activated version "$mesh_folder"/control-*.log | awk -v v="$version" '$2 == v { print $1 }' | sort -n | head -1)
		end=$(event_times configuration version "$mesh_folder"/vm-*.log | awk -v v="$version" '$2 == v { print $1 }' | sort -n | tail -1)
		echo $((end - begin))
	done | sort -n
}

mesh_make_keys
for id in 1 2 3; do
	mesh_make_control "$id"
	mesh_start_control "$id"
done
mesh_await "a leader" mesh_leader
for i in $(seq 1 "$proxies"); do
	mesh_start_vm "vm-$i" $((10 + i)) "${services[$((i % 3))]}" "${zones[$((i % 4))]}"
done
mesh_await "reports of every proxy" all_current
for number in $(seq 1 "$changes"); do
	sed "s/^title = .*/title = change $number/" examples/changes/closures.ini >"$mesh_folder/change.ini"
	ctl_as ilona book "$mesh_folder/change.ini" --number="$number" --due=now >&2
	ctl_as bence review "$number" --wait=30 >&2
done
mesh_await "the last change" all_current
convergence_times=$(print_convergence_times)

for i in $(seq 1 "$proxies"); do
	mesh_end "vm-$i" KILL || true
	mv "$mesh_folder/vm-$i.log" "$mesh_folder/before-$i.log"
done
for i in $(seq 1 "$proxies"); do
	mesh_start "vm-$i" "$mesh_programs/carawayd" --config="$mesh_folder/vm-$i.ini"
done
mesh_await "the restarted proxies" all_current
sleep 1
begin=$(event_times listening incarnation "$mesh_folder"/vm-*.log | sort -n | head -1 | cut -d' ' -f1)
end=$(event_times configuration version "$mesh_folder"/vm-*.log | sort -n | tail -1 | cut -d' ' -f1)
printf '{"run":"processes","proxies":%s,"changes":%s,"converge_median_ms":%s,"converge_slowest_ms":%s,"all_restarted_current_ms":%s}\n' \
	"$proxies" "$changes" "$(echo "$convergence_times" | sed -n "$(((changes + 1) / 2))p")" "$(echo "$convergence_times" | tail -1)" $((end - begin))

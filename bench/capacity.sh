#!/bin/bash
# Measures the slopes that docs/CAPACITY.md rests on and extends them to 8,700 proxies.  Takes about 5 minutes.
# Usage: bench/capacity.sh [FOLDER], where the measurements and the tables are left.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD:-build}
folder=${1:-build/capacity}
aim=8700
mkdir -p "$folder"

echo "load average at the start: $(cut -d ' ' -f 1-3 /proc/loadavg)" | tee "$folder/conditions"
"$build/bench/bench_ledger" >"$folder/ledger.json"
"$build/bench/bench_feed" 400 >"$folder/feed.json"
"$build/bench/bench_raft" >"$folder/raft.json"
bench/calls.sh cpu | grep -v '^#' >"$folder/calls.json"
bench/fleet.sh 12 24 48 96 >"$folder/fleet.json"
"$build/bench/slopes" --size vms --aim $aim <"$folder/ledger.json" | tee "$folder/ledger.md"
"$build/bench/slopes" --size proxies --aim $aim <"$folder/feed.json" | tee "$folder/feed.md"
"$build/bench/slopes" --size proxies --aim $aim <"$folder/fleet.json" | tee "$folder/fleet.md"
"$build/bench/slopes" --size rate --aim 126 <"$folder/calls.json" | tee "$folder/calls.md"
echo "load average at the end: $(cut -d ' ' -f 1-3 /proc/loadavg)" | tee -a "$folder/conditions"

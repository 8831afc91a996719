#!/bin/bash
# Runs the measurements behind docs/CAPACITY.md, fits lines to them and extrapolates these to 8,700 proxies.
# Takes about 5 minutes.  Usage: bench/capacity.sh [FOLDER]; measurements and tables are written to FOLDER.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD:-build}
folder=${1:-build/capacity}
planned_proxies=8700
mkdir -p "$folder"

echo "load average at the start: $(cut -d ' ' -f 1-3 /proc/loadavg)" | tee "$folder/conditions"
"$build/bench/bench_ledger" >"$folder/ledger.json"
"$build/bench/bench_feed" 400 >"$folder/feed.json"
"$build/bench/bench_raft" >"$folder/raft.json"
bench/calls.sh cpu | grep -v '^#' >"$folder/calls.json"
bench/fleet.sh 12 24 48 96 >"$folder/fleet.json"
"$build/bench/slopes" --size vms --aim $planned_proxies <"$folder/ledger.json" | tee "$folder/ledger.md"
"$build/bench/slopes" --size proxies --aim $planned_proxies <"$folder/feed.json" | tee "$folder/feed.md"
"$build/bench/slopes" --size proxies --aim $planned_proxies <"$folder/fleet.json" | tee "$folder/fleet.md"
"$build/bench/slopes" --size rate --aim 126 <"$folder/calls.json" | tee "$folder/calls.md"
echo "load average at the end: $(cut -d ' ' -f 1-3 /proc/loadavg)" | tee -a "$folder/conditions"

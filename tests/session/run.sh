#!/bin/bash
# Runs the main job in separate processes and compares the whole session with its golden file.
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
code=0
scripts/main-job.sh >"$folder/session" || code=$?
# The replicas' rows in the order leader, others.
sed -E -f tests/session/normalise.sed "$folder/session" |
	awk '/^REPLICA other/ { held = held $0 "\n"; next } /^REPLICA/ { print; next }
	     { printf "%s", held; held = ""; print }' >"$folder/normal"
diff -u tests/session/main-job.golden "$folder/normal"
exit "$code"

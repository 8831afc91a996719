#!/bin/bash
# Runs the main job with its separate processes and compares its normalised output with the golden file.
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
status=0
scripts/main-job.sh >"$folder/session" || status=$?
# Moves the row of the leader before those of the other replicas.
sed -E -f tests/session/normalise.sed "$folder/session" |
	awk '/^REPLICA other/ { others = others $0 "\n"; next } /^REPLICA/ { print; next }
	     { printf "%s", others; others = ""; print }' >"$folder/normalised"
diff -u tests/session/main-job.golden "$folder/normalised"
exit "$status"

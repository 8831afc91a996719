#!/bin/bash
# Runs the seeds in soak/seeds.txt that are marked "ci" (for continuous integration), or with "all" every seed.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s -j"$(nproc)" soak
failed=0
while read -r seed rounds proxies run_by _; do
	case "$seed" in '#'* | '') continue ;; esac
	[ "$run_by" = ci ] || [ "${1:-}" = all ] || continue
	build/soak/soak --seed "$seed" --rounds "$rounds" --proxies "$proxies" || failed=1
done <soak/seeds.txt
exit "$failed"

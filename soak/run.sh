#!/bin/bash
# Runs seeds of soak/seeds.txt: those marked for continuous integration, or with "all" every one.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s -j"$(nproc)" soak
failed=0
while read -r seed rounds proxies where _; do
	case "$seed" in '#'* | '') continue ;; esac
	[ "$where" = ci ] || [ "${1:-}" = all ] || continue
	build/soak/soak --seed "$seed" --rounds "$rounds" --proxies "$proxies" || failed=1
done <soak/seeds.txt
exit "$failed"

#!/bin/bash
# A short run of the fault soak, and again every seed that ever failed: soak/seeds.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s -j"$(nproc)" soak
failed=0
while read -r seed rounds proxies _; do
	case "$seed" in '#'* | '') continue ;; esac
	build/soak/soak --seed "$seed" --rounds "$rounds" --proxies "$proxies" || failed=1
done <soak/seeds.txt
exit "$failed"

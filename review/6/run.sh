#!/bin/bash
# REFUSED: the second copy of a rejection comes late, when the same request is at work at that upstream in a further try.
# Exits with 1 if a request that is not idempotent was answered 429 or 503 and has run, or ran twice; 0 if not; 2 if the
# case could not run.
set -euo pipefail
source "$(dirname "$0")/../mesh-2.sh"

trouble=second-copy
[ "${TROUBLE:-1}" != 0 ] || trouble=
for number in 1 2 3; do rig_control "$number" true; done
# Two upstreams of the service that takes orders; the callers are beside upstreams of another service.
rig_proxy 11 orders
rig_upstream 11 orders i-11 work_ms=40 reject=/order/ "trouble=$trouble"
rig_proxy 12 orders
rig_upstream 12 orders i-12 work_ms=40
callers=(13 14 15 16)
for machine in "${callers[@]}"; do
	rig_proxy "$machine" front
	rig_upstream "$machine" front "i-$machine" work_ms=5
done
{
	printf '{"version":"00000001","base_version":"00000000","resources":['
	rig_route r-look shop.example /look/ safe orders 1
	rig_route r-order shop.example /order/ unsafe orders 1.5
	rig_service orders
	rig_service front
	rig_limits
	printf ']}'
} >"$rig_folder/config.json"
rig_configure "$rig_folder/config.json"
for machine in 11 12 "${callers[@]}"; do rig_await 20 "ready proxy" rig_is_ready "$machine"; done
sleep 2

# Ordinary requests: the copies stay under 3 in 100 of the answers of their upstream.
clients=()
for machine in "${callers[@]}"; do
	"$rig_standin" client "to=$rig_network.$machine:8304" host=shop.example path=/look/ "prefix=look-$machine" \
		connections=4 count=200 gap_ms=20 "record=$rig_record" >>"$rig_folder/look.txt" &
	clients+=($!)
	rig_pids[look-$machine]=$!
done
for client in "${clients[@]}"; do wait "$client" || true; done
for machine in "${callers[@]}"; do unset "rig_pids[look-$machine]"; done
for machine in "${callers[@]}"; do
	# The process beside the other upstream is killed and is back 3 s later.
	[ -z "$trouble" ] || rig_kill proxy-12
	rig_run order "$rig_folder/order.txt" client "to=$rig_network.$machine:8304" host=shop.example path=/order/ \
		method=POST "prefix=order-$machine" count=10 gap_ms=30 budget_ms=1500 "record=$rig_record"
	sleep 2
	[ -z "$trouble" ] || rig_proxy 12 orders
	sleep 6
done
rig_note "look: $(tr '\n' ' ' <"$rig_folder/look.txt")"
rig_note "order: $(tr '\n' ' ' <"$rig_folder/order.txt")"

awk '
$2 == "ran" && $3 ~ /^order/ { runs[$3]++ }
$2 == "answer" && $3 ~ /^order/ { status[$3] = $4; answered++; served += $4 == 200 }
END {
	for (id in status) {
		if ((status[id] == 503 || status[id] == 429) && runs[id]) { print "REFUSED", id, status[id], "runs", runs[id]; bad++ }
		if (runs[id] > 1) { print "TWICE", id, status[id], "runs", runs[id]; bad++ }
	}
	print "answers to orders: " answered + 0 ", served: " served + 0 ", broken: " bad + 0
	exit served + 0 == 0 ? 2 : bad ? 1 : 0
}' "$rig_record" >"$rig_folder/verdict.txt" && verdict=0 || verdict=$?
while read -r line; do rig_note "$line"; done <"$rig_folder/verdict.txt"
cat "$rig_folder/verdict.txt"
exit "$verdict"

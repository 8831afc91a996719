#!/bin/bash
# Measures calls: added latency through proxies, and goodput against baselines
# with one target of four slow, failing (its health endpoint says all is well)
# or shedding.  Prints JSON lines, then the ratios.
#
#   bench/calls.sh [latency|goodput|cpu]     build with make first
set -eu
cd "$(dirname "$0")/.."

TOOLS=build/tests/tools
LOAD=build/bench/load
SLOTS=12
SERVICE_MS=40
DEADLINE_MS=300
CAPACITY=1200 # calls a second: 4 targets, 12 slots, 40 ms
SECONDS_EACH=${SECONDS_EACH:-3}
SCENARIOS=${SCENARIOS:-healthy slow lying shedding}
FACTORS=${FACTORS:-0.5 1 1.5 2} # of the capacity

work=$(mktemp -d)
pids=
# Ends the processes of a round.
stop_all() {
	for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
	for pid in $pids; do wait "$pid" 2>/dev/null || true; done
	pids=
}
trap 'stop_all; rm -rf "$work"' EXIT

# start_target NUMBER OPTION...: its port is in the file target.NUMBER.
start_target() {
	local number=$1
	shift
	"$TOOLS/standin_target" --slots=$SLOTS "$@" >"$work/target.$number" &
	pids="$pids $!"
}

# start_proxy NAME TARGET_PORT INCARNATION: its ports are in the file proxy.NAME.
start_proxy() {
	"$TOOLS/traffic_driver" --vm "$1" --zone z --target "127.0.0.1:$2" --incarnation "$3" --slots $SLOTS \
		--connections 500 --timeout-ms 1000 --view "$work/view.ini" >"$work/proxy.$1" 2>/dev/null &
	pids="$pids $!"
}

# port_of FIELD FILE: a port of a proxy's line.
port_of() {
	sed -n "1s/.*\"$1\":\"127.0.0.1:\([0-9]*\)\".*/\1/p" "$2"
}

# add_endpoint NAME INCARNATION: adds a proxy to the view being written.
add_endpoint() {
	printf '[endpoint %s]\nzone=z\nservice=s\naddress=127.0.0.1:%s\nincarnation=%s\nslots=%s\n' \
		"$1" "$(port_of call "$work/proxy.$1")" "$2" "$SLOTS" >>"$work/view.new"
}

# Begins a view with one route.
begin_view() {
	printf '[view]\nversion=1\n[route all]\npath=/\nservice=s\n' >"$work/view.new"
}

# field NAME: a number of the JSON line on standard input.
field() {
	sed -n "s/.*\"$1\":\([0-9.e+-]*\).*/\1/p"
}

# Latency of a direct call, through one proxy and through two, three rounds of each in turn.
measure_latency() {
	local method round
	start_target 1 --service-ms=5
	sleep 0.5
	start_proxy near "$(cat "$work/target.1")" 11
	start_proxy far 1 12
	sleep 0.5
	begin_view
	add_endpoint near 11
	mv "$work/view.new" "$work/view.ini"
	sleep 0.5
	for method in GET POST; do
		for round in 1 2 3; do
			run_latency "$method" direct "$(cat "$work/target.1")" $round
			run_latency "$method" one-proxy "$(port_of http "$work/proxy.near")" $round
			run_latency "$method" two-proxies "$(port_of http "$work/proxy.far")" $round
		done
		summarise_latency "$method"
	done
	stop_all
}

# run_latency METHOD PATH PORT ROUND
run_latency() {
	"$LOAD" --ports "$3" --method "$1" --rate 200 --seconds "$SECONDS_EACH" --warm-seconds 2.5 --seed "$4" \
		--name "$1-$2" --witness "$(cat "$work/target.1")" | tee -a "$work/latency.$1-$2"
}

# median FILE FIELD: of the rounds.
median() {
	field "$2" <"$1" | sort -g | sed -n 2p
}

# Medians of the rounds and what a proxy adds.
summarise_latency() {
	local path kind
	for path in one-proxy two-proxies; do
		for kind in p50_ms p99_ms; do
			awk -v a="$(median "$work/latency.$1-$path" $kind)" -v d="$(median "$work/latency.$1-direct" $kind)" \
				-v n="$1 $path $kind" 'BEGIN { printf "# %s: %.2f, direct %.2f, added %.2f\n", n, a, d, a - d }'
		done
	done
}

# ticks_of PID: hundredths of a second of processor time that a process has used.
ticks_of() {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

# Processor time of a call at the proxy that takes it from the caller and at the one beside the target.
measure_cpu() {
	local rate before after near far seconds=5
	start_target 1 --service-ms=1
	sleep 0.5
	start_proxy near "$(cat "$work/target.1")" 11
	near=${pids##* }
	start_proxy far 1 12
	far=${pids##* }
	sleep 0.5
	begin_view
	add_endpoint near 11
	mv "$work/view.new" "$work/view.ini"
	sleep 0.5
	for rate in 0 100 200 400 800; do
		before="$(ticks_of "$near") $(ticks_of "$far")"
		if [ $rate = 0 ]; then
			sleep $seconds
		else
			"$LOAD" --ports "$(port_of http "$work/proxy.far")" --method GET --rate $rate --seconds $seconds \
				--warm-seconds 0.1 --seed 1 --name cpu --witness "$(cat "$work/target.1")" >/dev/null
		fi
		after="$(ticks_of "$near") $(ticks_of "$far")"
		echo "$before $after" | awk -v r=$rate -v s=$seconds '{
			line = "{\"bench\": \"calls\", \"rate\": %d, \"what\": \"processor, %s\", \"percent\": %.2f}\n"
			printf line, r, "beside the target", ($3 - $1) / s
			printf line, r, "beside the caller", ($4 - $2) / s }'
	done
	stop_all
}

# options_of SCENARIO: of the first target.
options_of() {
	case "$1" in
	healthy) echo "--service-ms=$SERVICE_MS" ;;
	slow) echo "--service-ms=$((SERVICE_MS * 10))" ;;
	lying) echo "--service-ms=$SERVICE_MS --fail-percent=100" ;;
	shedding) echo "--service-ms=$SERVICE_MS --shed-above=3" ;;
	esac
}

# Starts four targets and their proxies; the first target is that of the scenario.
start_mesh() {
	local i
	start_target 1 $(options_of "$1")
	for i in 2 3 4; do start_target $i --service-ms=$SERVICE_MS; done
	sleep 0.5
	for i in 1 2 3 4; do start_proxy p$i "$(cat "$work/target.$i")" 1$i; done
	sleep 0.5
	begin_view
	for i in 1 2 3 4; do add_endpoint p$i 1$i; done
	mv "$work/view.new" "$work/view.ini"
	sleep 0.5
}

# Goodput of each system under each load and scenario, as shares of the capacity.
measure_goodput() {
	local scenario factor targets proxies rate
	for scenario in $SCENARIOS; do
		for factor in $FACTORS; do
			rate=$(awk -v f=$factor -v c=$CAPACITY 'BEGIN { print f * c }')
			start_mesh "$scenario"
			targets=$(cat "$work"/target.[1-4] | paste -sd,)
			proxies=$(for i in 1 2 3 4; do port_of http "$work/proxy.p$i"; done | paste -sd,)
			run_goodput caraway "$scenario" "$factor" "$rate" --ports "$proxies" --witness "$targets"
			stop_all
			start_mesh "$scenario"
			targets=$(cat "$work"/target.[1-4] | paste -sd,)
			run_goodput round-robin "$scenario" "$factor" "$rate" --ports "$targets" --witness "$targets"
			stop_all
			start_mesh "$scenario"
			targets=$(cat "$work"/target.[1-4] | paste -sd,)
			run_goodput fixed-retries "$scenario" "$factor" "$rate" --ports "$targets" --witness "$targets" \
				--retries 3
			stop_all
		done
	done
}

# run_goodput SYSTEM SCENARIO FACTOR RATE OPTION...
run_goodput() {
	local line name="$1-$2-$3" factor=$3 rate=$4
	shift 4
	line=$("$LOAD" --name "$name" --rate "$rate" --method POST --deadline-ms $DEADLINE_MS --seconds "$SECONDS_EACH" \
		--warm-seconds 3 "$@")
	echo "$line"
	awk -v g="$(echo "$line" | field goodput)" -v c=$CAPACITY -v n="$name" \
		'BEGIN { printf "# %s: goodput/capacity %.2f\n", n, g / c }'
}

echo "# load average before: $(cut -d' ' -f1-3 /proc/loadavg)"
case "${1:-all}" in
latency) measure_latency ;;
goodput) measure_goodput ;;
cpu) measure_cpu ;;
*) measure_latency && measure_goodput ;;
esac
echo "# load average after: $(cut -d' ' -f1-3 /proc/loadavg)"

#!/bin/bash
# Measures calls: the latency that proxies add, the processor time of proxies,
# and goodput against baselines when one of four targets is slow, fails while its
# health endpoint reports it healthy ("lying"), or sheds load.  Prints JSON
# lines; lines with "#" give the derived values.
#
#   bench/calls.sh [latency|goodput|cpu]     by default latency and goodput
#
# Needs the build made by "make".
set -eu
cd "$(dirname "$0")/.."

TOOLS=build/tests/tools
LOAD=build/bench/load
SLOTS=12
SERVICE_MS=40
DEADLINE_MS=300
CAPACITY=1200 # calls per second: 4 targets with 12 slots each, 40 ms per call
SECONDS_EACH=${SECONDS_EACH:-3}
SCENARIOS=${SCENARIOS:-healthy slow lying shedding}
FACTORS=${FACTORS:-0.5 1 1.5 2} # loads, as multiples of the capacity

work_dir=$(mktemp -d)
pids=
# Kills all targets and proxies and waits for them.
stop_all() {
	for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
	for pid in $pids; do wait "$pid" 2>/dev/null || true; done
	pids=
}
trap 'stop_all; rm -rf "$work_dir"' EXIT

# Starts a stand-in target, which writes its port to target.NUMBER: NUMBER, OPTION...
start_target() {
	local number=$1
	shift
	"$TOOLS/standin_target" --slots=$SLOTS "$@" >"$work_dir/target.$number" &
	pids="$pids $!"
}

# Starts a proxy, which writes its addresses to proxy.NAME: NAME, TARGET_PORT, INCARNATION.
start_proxy() {
	"$TOOLS/traffic_driver" --vm "$1" --zone z --target "127.0.0.1:$2" --incarnation "$3" --slots $SLOTS \
		--connections 500 --timeout-ms 1000 --view "$work_dir/view.ini" >"$work_dir/proxy.$1" 2>/dev/null &
	pids="$pids $!"
}

# Prints a port from the JSON line that a proxy wrote: KEY, FILE.
port_from() {
	sed -n "1s/.*\"$1\":\"127.0.0.1:\([0-9]*\)\".*/\1/p" "$2"
}

# Appends the endpoint of a proxy to the new view: NAME, INCARNATION.
add_endpoint() {
	printf '[endpoint %s]\nzone=z\nservice=s\naddress=127.0.0.1:%s\nincarnation=%s\nslots=%s\n' \
		"$1" "$(port_from call "$work_dir/proxy.$1")" "$2" "$SLOTS" >>"$work_dir/view.new"
}

# Starts writing a new view, with one route.
start_view() {
	printf '[view]\nversion=1\n[route all]\npath=/\nservice=s\n' >"$work_dir/view.new"
}

# Prints a number from the JSON line on standard input: KEY.
json_number() {
	sed -n "s/.*\"$1\":\([0-9.e+-]*\).*/\1/p"
}

# Measures the latency of direct calls, of calls through one proxy and through two, alternating for three rounds.
# The far proxy has no target, since nothing listens at port 1: it forwards every call to the near one.
measure_latency() {
	local method round
	start_target 1 --service-ms=5
	sleep 0.5
	start_proxy near "$(cat "$work_dir/target.1")" 11
	start_proxy far 1 12
	sleep 0.5
	start_view
	add_endpoint near 11
	mv "$work_dir/view.new" "$work_dir/view.ini"
	sleep 0.5
	for method in GET POST; do
		for round in 1 2 3; do
			run_latency "$method" direct "$(cat "$work_dir/target.1")" $round
			run_latency "$method" one-proxy "$(port_from http "$work_dir/proxy.near")" $round
			run_latency "$method" two-proxies "$(port_from http "$work_dir/proxy.far")" $round
		done
		print_added_latency "$method"
	done
	stop_all
}

# Runs the load for one latency measurement: METHOD, PATH, PORT, ROUND.
run_latency() {
	"$LOAD" --ports "$3" --method "$1" --rate 200 --seconds "$SECONDS_EACH" --warm-seconds 2.5 --seed "$4" \
		--name "$1-$2" --witness "$(cat "$work_dir/target.1")" | tee -a "$work_dir/latency.$1-$2"
}

# Prints the median of a value over the three rounds: FILE, KEY.
median() {
	json_number "$2" <"$1" | sort -g | sed -n 2p
}

# Prints the median latencies of a method and the latency that the proxies add: METHOD.
print_added_latency() {
	local path quantile
	for path in one-proxy two-proxies; do
		for quantile in p50_ms p99_ms; do
			awk -v a="$(median "$work_dir/latency.$1-$path" $quantile)" -v d="$(median "$work_dir/latency.$1-direct" $quantile)" \
				-v n="$1 $path $quantile" 'BEGIN { printf "# %s: %.2f, direct %.2f, added %.2f\n", n, a, d, a - d }'
		done
	done
}

# Prints the processor time that a process has used, in clock ticks of 10 ms; one tick per second is 1 percent: PID.
cpu_ticks() {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

# Measures the processor time at the proxy beside the caller and at the one beside the target, at several call rates.
measure_cpu() {
	local rate before after near_pid far_pid seconds=5
	start_target 1 --service-ms=1
	sleep 0.5
	start_proxy near "$(cat "$work_dir/target.1")" 11
	near_pid=${pids##* }
	start_proxy far 1 12
	far_pid=${pids##* }
	sleep 0.5
	start_view
	add_endpoint near 11
	mv "$work_dir/view.new" "$work_dir/view.ini"
	sleep 0.5
	for rate in 0 100 200 400 800; do
		before="$(cpu_ticks "$near_pid") $(cpu_ticks "$far_pid")"
		if [ $rate = 0 ]; then
			sleep $seconds
		else
			"$LOAD" --ports "$(port_from http "$work_dir/proxy.far")" --method GET --rate $rate --seconds $seconds \
				--warm-seconds 0.1 --seed 1 --name cpu --witness "$(cat "$work_dir/target.1")" >/dev/null
		fi
		after="$(cpu_ticks "$near_pid") $(cpu_ticks "$far_pid")"
		echo "$before $after" | awk -v r=$rate -v s=$seconds '{
			line = "{\"bench\": \"calls\", \"rate\": %d, \"what\": \"processor, %s\", \"percent\": %.2f}\n"
			printf line, r, "beside the target", ($3 - $1) / s
			printf line, r, "beside the caller", ($4 - $2) / s }'
	done
	stop_all
}

# Prints the options of the first target: SCENARIO.
first_target_options() {
	case "$1" in
	healthy) echo "--service-ms=$SERVICE_MS" ;;
	slow) echo "--service-ms=$((SERVICE_MS * 10))" ;;
	lying) echo "--service-ms=$SERVICE_MS --fail-percent=100" ;;
	shedding) echo "--service-ms=$SERVICE_MS --shed-above=3" ;;
	esac
}

# Starts four targets, the first with the options of the scenario, and their proxies: SCENARIO.
start_targets_and_proxies() {
	local i
	start_target 1 $(first_target_options "$1")
	for i in 2 3 4; do start_target $i --service-ms=$SERVICE_MS; done
	sleep 0.5
	for i in 1 2 3 4; do start_proxy p$i "$(cat "$work_dir/target.$i")" 1$i; done
	sleep 0.5
	start_view
	for i in 1 2 3 4; do add_endpoint p$i 1$i; done
	mv "$work_dir/view.new" "$work_dir/view.ini"
	sleep 0.5
}

# Measures the goodput of each system in each scenario and at each load.
measure_goodput() {
	local scenario factor targets proxies rate
	for scenario in $SCENARIOS; do
		for factor in $FACTORS; do
			rate=$(awk -v f=$factor -v c=$CAPACITY 'BEGIN { print f * c }')
			start_targets_and_proxies "$scenario"
			targets=$(cat "$work_dir"/target.[1-4] | paste -sd,)
			proxies=$(for i in 1 2 3 4; do port_from http "$work_dir/proxy.p$i"; done | paste -sd,)
			run_goodput caraway "$scenario" "$factor" "$rate" --ports "$proxies" --witness "$targets"
			stop_all
			start_targets_and_proxies "$scenario"
			targets=$(cat "$work_dir"/target.[1-4] | paste -sd,)
			run_goodput round-robin "$scenario" "$factor" "$rate" --ports "$targets" --witness "$targets"
			stop_all
			start_targets_and_proxies "$scenario"
			targets=$(cat "$work_dir"/target.[1-4] | paste -sd,)
			run_goodput fixed-retries "$scenario" "$factor" "$rate" --ports "$targets" --witness "$targets" \
				--retries 3
			stop_all
		done
	done
}

# Runs the load for one goodput measurement: SYSTEM, SCENARIO, FACTOR, RATE, OPTION...
run_goodput() {
	local line name="$1-$2-$3" factor=$3 rate=$4
	shift 4
	line=$("$LOAD" --name "$name" --rate "$rate" --method POST --deadline-ms $DEADLINE_MS --seconds "$SECONDS_EACH" \
		--warm-seconds 3 "$@")
	echo "$line"
	awk -v g="$(echo "$line" | json_number goodput)" -v c=$CAPACITY -v n="$name" \
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

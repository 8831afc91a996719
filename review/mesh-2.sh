# Functions to run a small deployment on loopback addresses, for the scripts review/6 to review/10, which source it.
# Three control replicas, and sidecar machines with a proxy and an upstream each, with the templates of the deploy file.
# Each machine has an address of its own in 127.0.0.0/8; the ports are those of the pages.

rig_case=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
rig_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
rig_standin=$rig_root/target/standin-2
rig_record=$rig_case/record.txt
rig_folder=$(mktemp -d)
rig_network=127.$((10 + $$ / 240 % 230)).$((5 + $$ % 240))
rig_memory_mb=${rig_memory_mb:-110}
rig_bounds=() # NAME=VALUE of bounds that only some deployments have
declare -A rig_pids=()
: >"$rig_record"

# Ends every process that was started here.
rig_cleanup() {
	local name
	exec 2>/dev/null
	for name in "${!rig_pids[@]}"; do
		kill -KILL "${rig_pids[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$rig_folder"
}
trap rig_cleanup EXIT

# Writes a line to the record, with the milliseconds of the monotonic clock.
rig_note() {
	local up
	read -r up _ </proc/uptime
	echo "${up/./}0 $*" >>"$rig_record"
}

# Ends the script because the case could not run: reason.
rig_abort() {
	rig_note "could not run: $*"
	echo "could not run: $*"
	exit 2
}

for program in "$rig_root/target/carawayd" "$rig_standin"; do
	[ -x "$program" ] || rig_abort "$program is not built"
done

# Starts a process: name, command.  Its output goes to NAME.log in the temporary folder.
rig_start() {
	local name=$1
	shift
	(cd "$rig_root" && exec "$@") >>"$rig_folder/$name.log" 2>&1 &
	rig_pids[$name]=$!
}

# Runs a stand-in to its end, so that it is ended too if the script is: name, file for its output, arguments.
rig_run() {
	local name=$1 output=$2
	shift 2
	"$rig_standin" "$@" >>"$output" 2>&1 &
	rig_pids[$name]=$!
	wait "${rig_pids[$name]}" || true
	unset "rig_pids[$name]"
}

# Sends a signal to a process: name, signal.
rig_signal() {
	rig_note "signal $2 to $1"
	kill "-$2" "${rig_pids[$1]}"
}

# Kills a process and waits for its end: name.
rig_kill() {
	rig_signal "$1" KILL
	wait "${rig_pids[$1]}" 2>/dev/null || true
	unset "rig_pids[$1]"
}

# Fills a template of the deploy file: template, output, NAME=VALUE...
rig_fill() {
	local template=$1 output=$2 pair script='' sections=''
	shift 2
	for pair in "$@"; do
		script+="s|{{${pair%%=*}}}|${pair#*=}|g;"
	done
	for pair in "${rig_bounds[@]}"; do
		sections+="s|{{#${pair%%=*}}}||g;s|{{/${pair%%=*}}}||g;"
		script+="s|{{${pair%%=*}}}|${pair#*=}|g;"
	done
	sed "$sections" "$rig_root/$template" | sed -z 's/{{#bounds[^}]*}}[^\n]*\n{{\/bounds[^}]*}}//g' |
		sed "$script" >"$output"
	if grep -q '{{' "$output"; then
		rig_abort "a field of $template has no value"
	fi
}

rig_seeds=$rig_network.1:8306,$rig_network.2:8306,$rig_network.3:8306

# Starts a control replica: number 1 to 3, whether it is the first start.
rig_control() {
	mkdir -p "$rig_folder/disk-$1"
	rig_fill deploy/control.ini "$rig_folder/control-$1.ini" "ip=$rig_network.$1" port_range.0=7620 \
		port_range.1=7635 "seeds=$rig_seeds" "data_dir=$rig_folder/disk-$1" "bootstrap=$2" \
		fault_tolerance.machines=1 "listen.control=$rig_network.$1:8306"
	rig_start "control-$1" target/carawayd --config "$rig_folder/control-$1.ini"
}

# Starts the proxy of a sidecar machine: number from 11 on, service.
rig_proxy() {
	local ip=$rig_network.$1
	rig_fill deploy/proxy.ini "$rig_folder/proxy-$1.ini" "ip=$ip" port_range.0=7620 port_range.1=7635 \
		"seeds=$rig_seeds" "node_name=sidecar-$1" zone=bole region=addis "service=$2" "app_addr=$ip:8301" \
		"listen.outbound=$ip:8304" "listen.inbound=$ip:8300" "listen.control=$ip:8306" \
		"listen.readiness_address=$ip:8302" "limits.memory_mb=$rig_memory_mb" bounds.grace_s=6
	rig_start "proxy-$1" target/carawayd --config "$rig_folder/proxy-$1.ini"
}

# Starts the upstream of a sidecar machine: number, service, id, further options of the stand-in.
rig_upstream() {
	local machine=$1 service=$2 id=$3
	shift 3
	rig_start "upstream-$machine" "$rig_standin" upstream "listen=$rig_network.$machine:8301" \
		"control=$rig_network.$machine:8306" "service=$service" "id=$id" zone=bole "record=$rig_record" "$@"
}

# Repeats a command until it succeeds, for some seconds at most: seconds, description, command.
rig_await() {
	local end=$((SECONDS + $1)) what=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$end" ] || rig_abort "no $what in time"
		sleep 0.1
	done
}

# Sends the configuration in a file to the control replicas until one accepts it: file.
rig_configure() {
	local file=$1 number answer
	for _ in $(seq 100); do
		for number in 1 2 3; do
			answer=$("$rig_standin" call POST "$rig_network.$number:8306" /Config.Replace "$file" || true)
			rig_note "configuration sent to control-$number, answer $answer"
			[[ $answer != 200* ]] || return 0
		done
		sleep 0.2
	done
	rig_abort "no configuration was accepted"
}

# Prints a resource of a configuration: a route (name, host, prefix, kind, service, timeout in s).
rig_route() {
	printf '{"resource_kind":"routes","metadata":{"name":"%s"},"spec":{"host":"%s","path_prefix":"%s","kind":"%s","timeout_s":%s,"target_latency_s":0.5,"priority":1,"service":"%s","max_attempts":2}},' \
		"$1" "$2" "$3" "$4" "$6" "$5"
}

# Prints a service of a configuration: name.
rig_service() {
	printf '{"resource_kind":"services","metadata":{"name":"%s"},"spec":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}},' "$1"
}

# Prints a tenant of a configuration: name, key, requests a second, burst.
rig_tenant() {
	printf '{"resource_kind":"tenants","metadata":{"name":"%s"},"spec":{"api_keys":["%s"],"rate_per_s":%s,"burst":%s}},' "$@"
}

# Prints the limits, the last resource of a configuration.
rig_limits() {
	printf '{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}'
}

# Returns whether the proxy of a machine says that it is ready: number.
rig_is_ready() {
	"$rig_standin" call GET "$rig_network.$1:8302" /readiness
}

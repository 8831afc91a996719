# Functions to run a small mesh on one machine, for scripts that source this file.  Sourcing it creates the mesh's
# folder.  Each VM has its own loopback address, derived from the process id, so that several meshes can run at once.

mesh_folder=$(mktemp -d /tmp/caraway-mesh-XXXXXX)
mesh_network=127.$((1 + $$ / 200 % 200)).$((1 + $$ % 200))
mesh_programs=$PWD/build
declare -A mesh_pids=()
declare -A mesh_hosts=()
failures=0

# Kills the processes of this mesh that still run and removes its folder, which MESH_KEEP preserves.
mesh_cleanup() {
	local name
	for name in "${!mesh_pids[@]}"; do
		kill -KILL "${mesh_pids[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	if [ -n "${MESH_KEEP:-}" ]; then
		echo "kept: $mesh_folder" >&2
	else
		rm -rf "$mesh_folder"
	fi
}
trap mesh_cleanup EXIT

# Starts a program in the background: name, command.  Logs go to NAME.log in the mesh's folder; the standard output of
# programs other than carawayd goes to NAME.out.
mesh_start() {
	local name=$1
	shift
	if [[ $1 == */carawayd ]]; then
		"$@" >>"$mesh_folder/$name.log" 2>&1 &
	else
		"$@" >"$mesh_folder/$name.out" 2>>"$mesh_folder/$name.log" &
	fi
	mesh_pids[$name]=$!
}

# Sends a signal to a process and waits until it exits: name, signal.  Returns its exit status.
mesh_end() {
	local name=$1 signal=$2 pid status=0
	pid=${mesh_pids[$name]}
	unset "mesh_pids[$name]"
	kill "-$signal" "$pid" || true
	wait "$pid" 2>/dev/null || status=$?
	return "$status"
}

# Repeats a command until it succeeds: description, command.  Exits when that takes more than about 30 seconds.
mesh_await() {
	local description=$1 attempts_left=300
	shift
	until "$@" >/dev/null 2>&1; do
		attempts_left=$((attempts_left - 1))
		if [ "$attempts_left" -eq 0 ]; then
			echo "FAILED: timed out waiting for $description"
			tail -n 5 "$mesh_folder"/*.log >&2
			exit 1
		fi
		sleep 0.1
	done
}

# Generates the key pairs of the control replicas, the proxies and two operators, and writes the operators' settings.
mesh_make_keys() {
	local name
	for name in control proxy ilona bence; do
		"$mesh_programs/carawayctl" key "$mesh_folder/$name.key" >"$mesh_folder/$name.public"
	done
	for name in ilona bence; do
		mesh_common_settings "$name" >"$mesh_folder/operator-$name.ini"
	done
}

# Prints the settings common to every process of this mesh: name of its secret key.
mesh_common_settings() {
	local id
	printf '[control-replicas]\n'
	for id in 1 2 3; do
		printf '%s = %s.%s:17101\n' "$id" "$mesh_network" "$id"
	done
	printf '[keys]\nsecret-file = %s/%s.key\n' "$mesh_folder" "$1"
	printf 'control-public = %s\n' "$(cat "$mesh_folder/control.public")"
	printf 'proxy-public = %s\n' "$(cat "$mesh_folder/proxy.public")"
	printf '[operators]\nilona = booker %s\n' "$(cat "$mesh_folder/ilona.public")"
	printf 'bence = reviewer %s\n' "$(cat "$mesh_folder/bence.public")"
}

# Writes the settings of a control replica and formats its data folder: id.
mesh_make_control() {
	local id=$1 file=$mesh_folder/control-$1.ini
	mkdir -p "$mesh_folder/data-$id"
	{
		printf '[process]\nrole = control\n'
		mesh_common_settings control
		printf '[control]\nid = %s\ndata-folder = %s/data-%s\n' "$id" "$mesh_folder" "$id"
	} >"$file"
	"$mesh_programs/carawayd" --format="$file" 2>>"$mesh_folder/control-$id.log"
}

# Starts a control replica: id.
mesh_start_control() {
	mesh_start "control-$1" "$mesh_programs/carawayd" --config="$mesh_folder/control-$1.ini"
}

# Starts a target and the proxy beside it: VM, host number, service, availability zone.
mesh_start_vm() {
	local vm=$1 host=$mesh_network.$2 service=$3 zone=$4 file=$mesh_folder/$1.ini
	mesh_hosts[$vm]=$host
	mesh_start "target-$vm" "$mesh_programs/tests/tools/standin_target" --grace-ms=200
	mesh_await "the target of $vm" test -s "$mesh_folder/target-$vm.out"
	{
		printf '[process]\nrole = proxy\n'
		mesh_common_settings proxy
		printf '[proxy]\nvm = %s\nzone = %s\nregion = eszak\nservice = %s\n' "$vm" "$zone" "$service"
		printf 'listen = %s:18080\ncall-listen = %s:17201\nfeed-listen = %s:17202\n' "$host" "$host" "$host"
		printf 'target = 127.0.0.1:%s\n' "$(cat "$mesh_folder/target-$vm.out")"
	} >"$file"
	mesh_start "$vm" "$mesh_programs/carawayd" --config="$file"
}

# Runs carawayctl on this mesh as an operator: operator's name, arguments.
ctl_as() {
	local name=$1
	shift
	"$mesh_programs/carawayctl" --config="$mesh_folder/operator-$name.ini" "$@"
}

# Runs a query of carawayctl on this mesh: arguments.
ctl() {
	ctl_as ilona "$@"
}

# Prints the id of the control replica that is the leader; fails without one.
mesh_leader() {
	ctl status | awk '$3 == "leader" { print $2; found = 1 } END { exit !found }'
}

# Prints how often a request was executed, summed over the targets of VMs: request id, VMs.
mesh_executions() {
	local request=$1 vm
	shift
	for vm in "$@"; do
		curl -s "http://127.0.0.1:$(cat "$mesh_folder/target-$vm.out")/executions"
	done | { grep -o "\"$request\": *[0-9]*" || true; } | awk -F': *' '{ sum += $2 } END { print sum + 0 }'
}

# Prints the HTTP status of a call through the proxy of a VM: VM, path, options of curl.
mesh_call() {
	local vm=$1 path=$2
	shift 2
	curl -s -o /dev/null -w '%{http_code}' "$@" "http://${mesh_hosts[$vm]}:18080$path"
}

# Compares two texts, prints the result and counts failures: description, expected, actual.
check() {
	local description=$1 expected=$2 actual=$3
	if [ "$expected" = "$actual" ]; then
		echo "ok: $description: $actual"
	else
		echo "FAILED: $description: expected $expected, got $actual"
		failures=$((failures + 1))
	fi
}

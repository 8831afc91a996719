#!/bin/bash
# Runs every check and test and prints a line for each, then how many passed and failed.  Exit status 1 when one fails
# that KNOWN-RED.txt does not list.
set -euo pipefail
cd "$(dirname "$0")/.."

log_folder=build/test-logs
step_timeout_s=400
passed=0
failed=0
unexpected=0
mkdir -p "$log_folder"

# Succeeds when KNOWN-RED.txt has a line that begins with the name of a step and a colon.
is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -q "^$1:" KNOWN-RED.txt
}

# Runs one step: name, command.  Its output goes to a log file, whose end is printed when an unexpected failure occurs.
step() {
	local name=$1 log
	shift
	log="$log_folder/${name//\//-}.log"
	if timeout "$step_timeout_s" "$@" >"$log" 2>&1; then
		passed=$((passed + 1))
		echo "ok    $name"
		if is_known_red "$name"; then
			echo "      passes, though KNOWN-RED.txt lists it"
		fi
		return
	fi
	failed=$((failed + 1))
	if is_known_red "$name"; then
		echo "RED   $name (known)"
		grep "^$name:" KNOWN-RED.txt
	else
		unexpected=$((unexpected + 1))
		echo "FAIL  $name"
		tail -n 40 "$log"
	fi
}

step build make -s -j"$(nproc)" all units
step format make -s check-format
step lint make -s check-lint
for source in tests/unit/test_*.c; do
	name=$(basename "$source" .c)
	step "unit/$name" "build/tests/unit/$name"
done
# The same tests with the address and undefined-behaviour sanitizers.
sanitize=(SANITIZE=address,undefined BUILD=build-sanitize)
step sanitize/build make -s -j"$(nproc)" "${sanitize[@]}" all units
for source in tests/unit/test_*.c; do
	name=$(basename "$source" .c)
	step "sanitize/$name" "build-sanitize/tests/unit/$name"
done
for settings in examples/*.ini; do
	[ -e "$settings" ] || continue
	step "settings/$(basename "$settings" .ini)" build/carawayd --check-config "$settings"
done
for script in tests/*/run.sh soak/run.sh spin/run.sh; do
	[ -e "$script" ] || continue
	step "$(dirname "$script")" bash "$script"
done

echo "$passed passed, $failed failed"
[ "$unexpected" -eq 0 ]

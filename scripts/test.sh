#!/bin/bash
# Runs every check and test from the repository root: a line for each, then the sums on a line of their own.
# Fails when anything fails that KNOWN-RED.txt does not name.
set -euo pipefail
cd "$(dirname "$0")/.."

logs=build/test-logs
step_seconds=400
passed=0
failed=0
unexpected=0
mkdir -p "$logs"

# True when KNOWN-RED.txt has an entry that begins with the name and a colon.
is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -q "^$1:" KNOWN-RED.txt
}

# Runs one step by name and command, its output kept in a file and shown when it fails.
step() {
	local name=$1 log
	shift
	log="$logs/${name//\//-}.log"
	if timeout "$step_seconds" "$@" >"$log" 2>&1; then
		passed=$((passed + 1))
		echo "ok    $name"
		if is_known_red "$name"; then
			echo "      passes, though KNOWN-RED.txt names it"
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
# The same tests again under the address and undefined-behaviour sanitizers.
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

#!/bin/sh
# Checks the models listed in spin/models.txt, one after the other.
#
# Each line there is "FILE [FLAG...] pass|refuted".  A flag that begins with
# "-D" is passed to spin, "gcc:FLAG" to the compiler of the generated checker
# and "pan:FLAG" to the checker itself.  "pass" expects a complete search
# without an error, "refuted" expects that the checker finds an error.  Prints
# a verdict and the number of states for each model; exits with 1 if a verdict
# is not the expected one.
set -u

MEMORY_LIMIT_MB=1500
TIMEOUT_S=60
MAX_DEPTH=1000000 # steps

models=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# Builds and runs the checker of one model: FILE EXPECTED [FLAG...].
check_model() {
	file=$1
	expected=$2
	shift 2
	defines= compiler=-DSAFETY checker=
	for flag in "$@"
	do
		case "$flag" in
		gcc:*) compiler="$compiler ${flag#gcc:}" ;;
		pan:-a) compiler=$(echo "$compiler" | sed 's/-DSAFETY//'); checker="$checker -a" ;;
		pan:*) checker="$checker ${flag#pan:}" ;;
		*) defines="$defines $flag" ;;
		esac
	done
	rm -rf "$work/model" && mkdir "$work/model" && cd "$work/model" || exit 1
	if ! spin $defines -a "$models/$file" >build.txt 2>&1 ||
		! gcc -O2 -w -DMEMLIM=$MEMORY_LIMIT_MB $compiler -o pan pan.c >>build.txt 2>&1
	then
		cat build.txt
		verdict=build-failed
	else
		timeout $TIMEOUT_S ./pan -m$MAX_DEPTH $checker >out.txt 2>&1
		verdict=$(read_verdict out.txt)
	fi
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out.txt 2>/dev/null)
	elapsed=$(sed -n 's/^pan: elapsed time \([0-9.e+-]*\) seconds.*/\1/p' out.txt 2>/dev/null)
	memory=$(sed -n 's/^ *\([0-9.]*\).*total actual memory usage.*/\1/p' out.txt 2>/dev/null)
	echo "$file $*: $verdict (expected $expected), ${states:-no} states, ${elapsed:-?} s, ${memory:-?} MB"
	if test "$verdict" != "$expected"
	then
		grep -E '^pan:|error|depth' out.txt 2>/dev/null | head -5
		failed=1
	fi
}

# Prints the verdict of the checker's output file: refuted, pass or incomplete.
read_verdict() {
	if grep -q 'errors: [1-9]' "$1"
	then
		echo refuted
	elif grep -q 'errors: 0' "$1" && ! grep -qE 'max search depth too small|Search not completed|out of memory|MEMLIM' "$1"
	then
		echo pass
	else
		echo incomplete
	fi
}

while read -r line
do
	case "$line" in
	''|'#'*) continue ;;
	esac
	set -- $line
	file=$1
	shift
	flags=
	while test $# -gt 1
	do
		flags="$flags $1"
		shift
	done
	check_model "$file" "$1" $flags
done <"$models/models.txt"
exit $failed

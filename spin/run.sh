#!/bin/sh
# Checks the models named in spin/models.txt, one at a time.
#
# A line there is "FILE [FLAG...] pass|refuted".  Flags that begin with "-D"
# go to the model, with "gcc:" to the compiler of the checker, with "pan:" to
# the checker.  "pass" asks for a complete search without an error, "refuted"
# for an error found.  Prints the state counts; exits with 1 when a verdict differs.
set -u

MEMORY_MB=1500
TIME_S=60
STACK=1000000

models=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# Builds and runs the checker of one model; prints its verdict and counts.
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
		! gcc -O2 -w -DMEMLIM=$MEMORY_MB $compiler -o pan pan.c >>build.txt 2>&1
	then
		cat build.txt
		verdict=unbuilt
	else
		timeout $TIME_S ./pan -m$STACK $checker >out.txt 2>&1
		verdict=$(judge out.txt)
	fi
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out.txt 2>/dev/null)
	took=$(sed -n 's/^pan: elapsed time \([0-9.e+-]*\) seconds.*/\1/p' out.txt 2>/dev/null)
	memory=$(sed -n 's/^ *\([0-9.]*\).*total actual memory usage.*/\1/p' out.txt 2>/dev/null)
	echo "$file $*: $verdict (expected $expected), ${states:-no} states, ${took:-?} s, ${memory:-?} MB"
	if test "$verdict" != "$expected"
	then
		grep -E '^pan:|error|depth' out.txt 2>/dev/null | head -5
		failed=1
	fi
}

# Tells from the checker's output whether the search was complete and what it found.
judge() {
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

#!/bin/sh
# Mutation test: builds each variant of tests/calls/naive.txt, that is, a scratch
# copy of the source with one known defect, and checks that the test named for it
# fails there.  Arguments select variants by name.  Exit status 1 when the test of
# a variant passes, or a variant does not build or has an expression that changes
# nothing.
set -u
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r Makefile libcaraway daemon cli tests bench "$scratch" 2>/dev/null
make -s -j4 -C "$scratch" build/tests/tools/standin_target build/tests/tools/standin_link >/dev/null || exit 1
failed=0
selected_names=" $* "
while IFS='|' read -r name program test file expression; do
	case "$name" in '#'* | '') continue ;; esac
	case "$selected_names" in '  ' | *" $name "*) ;; *) continue ;; esac
	cp "$scratch/$file" "$scratch/original"
	applied=1
	printf '%s\n' "$expression" | sed 's|; s/|\ns/|g' >"$scratch/expressions"
	while IFS= read -r substitution; do
		cp "$scratch/$file" "$scratch/previous"
		sed -i "$substitution" "$scratch/$file"
		! cmp -s "$scratch/$file" "$scratch/previous" || applied=0
	done <"$scratch/expressions"
	if [ $applied -eq 0 ]; then
		echo "$name: an expression changes nothing"
		failed=1
	elif ! make -s -j4 -C "$scratch" WARNINGS='-std=gnu11 -w' build/tests/tools/traffic_driver \
		"build/tests/unit/$program" >/dev/null 2>"$scratch/errors"; then
		echo "$name: does not build"
		cat "$scratch/errors"
		failed=1
	elif (cd "$scratch" && CK_RUN_CASE="$test" timeout 120 "build/tests/unit/$program" >output 2>&1); then
		echo "$name: NOT DETECTED: $test passes"
		failed=1
	else
		echo "$name: detected by $test: $(grep -m1 ":[FE]:" "$scratch/output" | sed 's/^[^:]*:[0-9]*:[FE]:[^:]*:[^:]*:[0-9]*: //')"
	fi
	cp "$scratch/original" "$scratch/$file"
done <tests/calls/naive.txt
exit $failed

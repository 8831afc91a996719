#!/bin/bash
# Installs the library into a temporary folder, builds the embedding example against that installation and compares
# its output.
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
make -s install PREFIX="$folder"
export PKG_CONFIG_PATH=$folder/lib/pkgconfig
read -ra flags <<<"$(pkg-config --cflags --libs libcaraway)"
cc -std=gnu11 -Wall -Wextra -Werror -o "$folder/embed" examples/embed.c "${flags[@]}"
"$folder/embed" | diff -u tests/embed/expected.txt -
lines=$(wc -l <examples/embed.c)
[ "$lines" -lt 60 ] || { echo "examples/embed.c has $lines lines, expected fewer than 60"; exit 1; }

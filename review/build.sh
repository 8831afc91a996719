#!/bin/bash
# Builds the stand-ins of each case into its folder.
set -euo pipefail
cd "$(dirname "$0")"
for source in [1-5]/case.c; do
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -I. -o "${source%.c}" "$source" rig.c -pthread
done

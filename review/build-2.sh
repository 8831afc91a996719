#!/bin/bash
# Builds the stand-ins of the scripts review/6 to review/10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
gcc -O2 -std=gnu11 -Wall -Wextra -pthread -o target/standin-2 review/standin-2.c

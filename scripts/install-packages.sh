#!/bin/bash
# Installs the Debian packages that are missing of those needed for building, tests and the main job.
set -euo pipefail

packages=(
	gcc make pkg-config clang-format clang-tidy
	libglib2.0-dev libzmq3-dev liburcu-dev libhttp-parser-dev libmicrohttpd-dev
	libprotobuf-c-dev protobuf-c-compiler libjansson-dev libxxhash-dev libzstd-dev libsodium-dev libgsl-dev
	check spin curl
)

missing=()
for package in "${packages[@]}"; do
	dpkg-query -W -f '${db:Status-Status}\n' "$package" 2>/dev/null | grep -qx installed ||
		missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
	exit 0
fi

as_root=()
if [ "$(id -u)" -ne 0 ]; then
	as_root=(sudo)
fi
"${as_root[@]}" apt-get update
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"

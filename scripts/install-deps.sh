#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
set -euo pipefail
packages=(
    g++ clang cmake ninja-build ccache clang-format clang-tidy libclang-rt-14-dev
    libabsl-dev libboost1.81-dev libyaml-cpp-dev libcli11-dev liblog4cxx-dev
    libflatbuffers-dev libxxhash-dev libsodium-dev
    libgtest-dev libgmock-dev librapidcheck-dev libbenchmark-dev
    curl python3 gnuplot-nox pkg-config
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "install: installing ${missing[*]}"
log=$(mktemp)
if ! { apt-get update && DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"; } >"$log" 2>&1; then
    tail -20 "$log" >&2
    exit 1
fi

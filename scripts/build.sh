#!/usr/bin/env bash
# Configures and builds into the folder given as the first argument (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >"/tmp/citroncrank-cmake.$$" 2>&1 \
    || { cat "/tmp/citroncrank-cmake.$$" >&2; exit 1; }
rm -f "/tmp/citroncrank-cmake.$$"
cmake --build "$build" | tail -n 15
exit "${PIPESTATUS[0]}"

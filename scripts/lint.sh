#!/usr/bin/env bash
# Runs clang-tidy over all sources of the tree.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
run-clang-tidy -quiet -p "$build" -j "${LINT_JOBS:-$(nproc)}" "$PWD/(src|platform)/.*\.cpp" >"$build/lint.log" 2>/dev/null || {
    grep -E '(warning|error):' "$build/lint.log" | sort -u | head -60
    exit 1
}
echo "lint: clean"

#!/usr/bin/env bash
# Runs clang-tidy over all sources of the tree, see lint.py.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/lint.py "${1:-build}"

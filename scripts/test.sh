#!/usr/bin/env bash
# Installs the dependencies, builds, checks format and lint, runs all tests, prints a summary.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
scripts/install-deps.sh
echo "test: building in $build"
scripts/build.sh "$build"
echo "test: checking format"
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v generated | xargs clang-format --dry-run -Werror
echo "test: checking lint"
scripts/lint.sh "$build"
echo "test: running tests"
exec scripts/run-tests.sh "$build"

#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review into review/bin. Needs g++ only. The project's programs come from the
# build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins-2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$(basename "$source" .cpp)" "$source"
done

#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder into review/bin. Needs g++ only. The project's programs come from the
# build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "bin/$(basename "$source" .cpp)" "$source"
done

#!/usr/bin/env bash
# Fuzzes the frame decoder: a fixed number of runs (first argument, default 100000) with a fixed seed, built by clang
# with the address sanitizer. The build folder is the second argument (default: build/fuzz).
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-100000}
build=${2:-build/fuzz}
mkdir -p "$build/seeds" "$build/corpus"
rm -f "$build"/corpus/*
launcher=$(command -v ccache || true)
flags=(-std=c++20 -g -O1 -Isrc/include -Isrc/libprotocol)
objects=()
pids=()
for source in src/libprotocol/{frame_codec,encode_body,decode_body,reasons}.cpp; do
    object=$build/$(basename "$source" .cpp).o
    objects+=("$object")
    $launcher clang++ "${flags[@]}" -fsanitize=fuzzer-no-link,address -c "$source" -o "$object" &
    pids+=($!)
done
$launcher clang++ "${flags[@]}" -fsanitize=fuzzer-no-link,address -c src/fuzz/frame_codec_fuzz.cpp -o "$build/fuzz.o" &
pids+=($!)
$launcher clang++ "${flags[@]}" -fsanitize=address -DCITRONCRANK_FUZZ_SEEDS -c src/fuzz/frame_codec_fuzz.cpp -o "$build/seeds.o" &
pids+=($!)
for pid in "${pids[@]}"; do wait "$pid"; done
clang++ -fsanitize=fuzzer,address "$build/fuzz.o" "${objects[@]}" -lsodium -o "$build/frame_codec_fuzz"
clang++ -fsanitize=address,fuzzer-no-link "$build/seeds.o" "${objects[@]}" -lsodium -o "$build/write_seeds"
"$build/write_seeds" "$build/seeds"
log=$build/fuzz.log
if ! "$build/frame_codec_fuzz" -runs="$runs" -seed=20261204 -max_len=4096 -artifact_prefix="$build/" \
    "$build/corpus" "$build/seeds" >"$log" 2>&1; then
    tail -n 40 "$log" >&2
    exit 1
fi
grep -E 'DONE|Done' "$log"

#!/usr/bin/env bash
# Fuzzes one target of src/fuzz with a fixed seed, built by clang with the address sanitizer. Arguments: target
# (frame_codec or settings; default frame_codec), number of runs (default 100000), build folder (default build/fuzz).
set -euo pipefail
cd "$(dirname "$0")/.."
target=${1:-frame_codec}
runs=${2:-100000}
build=${3:-build/fuzz}/$target
case $target in
frame_codec)
    sources=(src/libprotocol/{frame_codec,encode_body,decode_body,reasons}.cpp)
    libraries=(-lsodium)
    ;;
settings)
    sources=(src/libbase/{ids,nearest_name}.cpp src/libruntime/settings*.cpp
        src/libconfig/{config_document,config_keys,config_text,config_value,format_config,validate_config}.cpp)
    libraries=(-lyaml-cpp -lxxhash $(pkg-config --libs absl_strings absl_str_format absl_time))
    ;;
*)
    echo "fuzz: unknown target $target" >&2
    exit 2
    ;;
esac
mkdir -p "$build/seeds" "$build/corpus"
rm -f "$build"/corpus/*
launcher=$(command -v ccache || true)
flags=(-std=c++20 -g -O1 -Isrc/include -Isrc/libprotocol)
objects=()
pids=()
compile() { # OUTPUT SOURCE FLAGS...
    $launcher clang++ "${flags[@]}" "${@:3}" -c "$2" -o "$1" &
    pids+=($!)
}
for source in "${sources[@]}"; do
    [[ $source == *_test.cpp ]] && continue
    object=$build/$(basename "$source" .cpp).o
    objects+=("$object")
    compile "$object" "$source" -fsanitize=fuzzer-no-link,address
done
compile "$build/fuzz.o" "src/fuzz/${target}_fuzz.cpp" -fsanitize=fuzzer-no-link,address
if [ "$target" = frame_codec ]; then
    compile "$build/seeds.o" src/fuzz/frame_codec_fuzz.cpp -fsanitize=address -DCITRONCRANK_FUZZ_SEEDS
fi
for pid in "${pids[@]}"; do wait "$pid"; done
clang++ -fsanitize=fuzzer,address "$build/fuzz.o" "${objects[@]}" "${libraries[@]}" -o "$build/${target}_fuzz"
if [ "$target" = frame_codec ]; then
    clang++ -fsanitize=address,fuzzer-no-link "$build/seeds.o" "${objects[@]}" "${libraries[@]}" -o "$build/write_seeds"
    "$build/write_seeds" "$build/seeds"
else
    cp src/fuzz/settings_seeds/* "$build/seeds/"
fi
log=$build/fuzz.log
if ! "$build/${target}_fuzz" -runs="$runs" -seed=20261204 -max_len=4096 -artifact_prefix="$build/" \
    "$build/corpus" "$build/seeds" >"$log" 2>&1; then
    tail -n 40 "$log" >&2
    exit 1
fi
grep -E 'DONE|Done' "$log"

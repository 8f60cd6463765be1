#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/. Needs
# the compiler and nlohmann-json3-dev, as the deploy file's build does.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)

started=()
finish() {
    for each in "${started[@]}"; do
        wait "$each"
    done
    started=()
}

parts=()
for part in wire store fleet caller bystanders; do
    g++ "${flags[@]}" -c "review/standins/$part.cpp" -o "$out/$part.o" &
    started+=($!)
    parts+=("$out/$part.o")
done
finish
g++ "${flags[@]}" review/standins/runner.cpp "$out/wire.o" -o "$out/runner" &
started+=($!)
for source in review/[0-9]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "${parts[@]}" -o "$out/case_$number" &
    started+=($!)
done
finish

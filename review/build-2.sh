#!/usr/bin/env bash
# Builds the stand-ins and the drivers of cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
mapfile -t sources < <(ls review/standins/second/*.cpp)
mapfile -t drivers < <(ls review/{6,7,8,9,10}/*.cpp 2>/dev/null)

compile() {
    g++ -std=c++20 -O1 -Wall -Wextra -Wpedantic -c "$1" \
        -o "$out/$(basename "$1" .cpp).o"
}
export -f compile
export out
printf '%s\0' "${sources[@]}" "${drivers[@]}" |
    xargs -0 -n 1 -P "$(nproc)" bash -euc 'compile "$1"' _

objects=()
for source in "${sources[@]}"; do
    objects+=("$out/$(basename "$source" .cpp).o")
done
for driver in "${drivers[@]}"; do
    name=$out/$(basename "$driver" .cpp)
    g++ "$name.o" "${objects[@]}" -pthread -o "$name"
done

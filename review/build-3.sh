#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3, after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-3
mkdir -p "$out"
sources=(
    review/standins-3/*.cpp
    src/net/caller_connection.cpp src/net/event_loop.cpp
    src/net/http_listener.cpp src/net/http_message.cpp
    src/net/socket_options.cpp
    src/base/address.cpp src/base/base64.cpp src/base/clock.cpp
    src/base/error.cpp
)
objects=()
for source in "${sources[@]}"; do
    object=$out/$(basename "$source" .cpp).o
    g++ -std=c++20 -O1 -I. -c "$source" -o "$object" &
    objects+=("$object")
done
wait
read -ra libraries < <(pkg-config --libs absl_flat_hash_map libcrypto)
g++ "${objects[@]}" -pthread -o "$out/cases" "${libraries[@]}"

#!/usr/bin/env bash
# Guards against daemons that are built partly of earlier sources: a folder was
# built before, and the sources are replaced by others that are older than its
# objects. The argument is the root of the repository.
set -euo pipefail
root=$1

folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cat >"$folder/CMakeLists.txt" <<END
cmake_minimum_required(VERSION 3.25)
project(rebuild LANGUAGES CXX)
include($root/cmake/source_digest.cmake)
tanagerlead_add_source_digest(src/*.cpp src/*.hpp)
add_executable(program src/main.cpp)
END
mkdir "$folder/src"

# Builds a program that prints the word, from sources of the year 2000.
printed() {
    echo "#define WORD \"$1\"" >"$folder/src/word.hpp"
    printf '%s\n' '#include "word.hpp"' '#include <cstdio>' \
        'int main() { std::puts(WORD " " TANAGERLEAD_SOURCES); }' \
        >"$folder/src/main.cpp"
    touch -d 2000-01-01 "$folder"/src/*
    cmake -S "$folder" -B "$folder/target" >/dev/null
    cmake --build "$folder/target" >/dev/null
    "$folder/target/program"
}

first=$(printed first)
second=$(printed second)
again=$(printed first)
echo "$first; $second; $again"
[[ $first == "first "* && $second == "second "* && $again == "$first" ]]
[[ ${first#* } != "${second#* }" ]]
echo "OK"

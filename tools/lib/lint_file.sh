#!/usr/bin/env bash
# Lints one source: lint_file.sh BUILD_DIR FILE. A file that was clean is not
# linted again as long as the linter would see the same: the preprocessed text
# with its comments, the linter's settings and its version.
set -euo pipefail
build_dir=$1
file=$2
cache=${TANAGERLEAD_LINT_CACHE:-${HOME:-/tmp}/.cache/tanagerlead-lint}

# A source of several programs is listed once for each; the first one counts.
flags=$(sed -n "\\# -c $PWD/$file\",\$# {
        s|^ *\"command\": \"[^ ]* \(.*\) -o [^ ]* -c .*\",\$|\1|p
        q
    }" "$build_dir/compile_commands.json")
key=
if [[ -n $flags ]]; then
    # Quotes of definitions are escaped in the file.
    eval "preprocess=(clang++ ${flags//\\\\/\\} -E -C -w)"
    key=$({
        clang-tidy --version
        cat .clang-tidy
        echo "$flags"
        "${preprocess[@]}" "$file"
    } 2>/dev/null | sed "s|$PWD||g" | sha256sum | cut -d ' ' -f 1) || key=
fi
if [[ -n $key && -e $cache/$key ]]; then
    exit 0
fi
clang-tidy -p "$build_dir" --quiet "$file" 2>/dev/null
if [[ -n $key ]]; then
    mkdir -p "$cache"
    : >"$cache/$key"
fi

#!/usr/bin/env bash
# Plays case 7. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 plays it without the disruption.
set -euo pipefail
cd "$(dirname "$0")/../.."

driver=target/review-2/streams_after_kill
if [[ ! -x $driver || ! -x target/tools/entry/tanagerlead_entryd ]]; then
    echo "case 7: build the deploy file and review/build-2.sh first"
    exit 2
fi
code=0
timeout --kill-after=1 118 "$driver" review/7 || code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-3.sh.
here="$(cd "$(dirname "$0")" && pwd)"
export ROOT="$(cd "$here/../.." && pwd)" RECORD="$here/record.txt"
cd "$ROOT" || exit 2
[[ -x target/review-3/deadly_part && -x target/release/medlarlug-platform ]] || exit 2
timeout -s KILL 110 target/review-3/deadly_part
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac

#!/usr/bin/env bash
# run-case.sh FOLDER CASE: runs a case that review/build.sh has built and writes FOLDER/record.txt. Exit code 1: the rule
# was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
program=$root/review/build/$2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/system.toml")
if [ ! -x "$program" ] || [ ! -x "$root/$command" ]; then
    echo "build the program with the deploy file, and the stand-ins with review/build.sh, first" >&2
    exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
REVIEW_TMP=$temporary REVIEW_ROOT=$root REVIEW_COMMAND=$command TROUBLE=${TROUBLE:-1} \
    timeout 115 "$program" "$folder/record.txt"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$temporary"/*.log "$KEEP_LOGS"/
[ "$code" -le 2 ] && exit "$code"
exit 2

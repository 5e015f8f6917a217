#!/usr/bin/env bash
# Guards against failures on the users' platform that occur without any fault: sessions through three instances,
# transactions, reads of own writes, the coordinator lease, a change of the primary and a clean shutdown, all against the
# stand-in for the platform.
set -euo pipefail
bin=${CITRONLUG_BIN:?set CITRONLUG_BIN to the build directory}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$bin/platform/standin/citronlug-soak" --program "$bin/platform/citronlug-sessiond" --logs "$work" --seed 1 --seconds 0 >"$work/out"
cat "$work/out"
if grep -q 'fault:' "$work/out" || ! grep -q ' 0 violations' "$work/out"; then
    exit 1
fi
# No log may contain a key.
if grep -hE 'key-[0-9]' "$work"/*.log; then
    echo "a log contains a caller's key" >&2
    exit 1
fi
grep -q 'duty-taken' "$work"/*.log
grep -q 'change-finished' "$work"/*.log

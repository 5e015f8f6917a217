#!/usr/bin/env bash
# Guards the whole path on the users' platform without faults: sessions through three instances, transactions, reads of own
# writes, the coordinator's duty and a clean end, against the stand-in for the platform.
set -euo pipefail
bin=${CITRONLUG_BIN:?set CITRONLUG_BIN to the build directory}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$bin/platform/standin/citronlug-soak" --program "$bin/platform/citronlug-sessiond" --logs "$work" --seed 1 --seconds 0 >"$work/out"
cat "$work/out"
if grep -q 'fault:' "$work/out" || ! grep -q ' 0 violations' "$work/out"; then
    exit 1
fi
# No key reaches a log.
if grep -hE 'key-[0-9]' "$work"/*.log; then
    echo "a caller's key stands in a log" >&2
    exit 1
fi
grep -q 'duty-taken' "$work"/*.log
grep -q 'change-finished' "$work"/*.log

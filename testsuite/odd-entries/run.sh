#!/usr/bin/env bash
# Guards against an outage by one malformed entry of another writer in the store: nested thousands of levels deep, with a
# number that no type holds, with bytes that are no text, with a port out of range. Service and all guarantees of the soak
# must hold while such entries are added to every kind of record.
set -euo pipefail
bin=${CITRONLUG_BIN:?set CITRONLUG_BIN to the build directory}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for seed in 921 922; do
    mkdir "$work/$seed"
    "$bin/platform/standin/citronlug-soak" --program "$bin/platform/citronlug-sessiond" --logs "$work/$seed" --seed "$seed" \
        --seconds 12 --odd-entries >"$work/$seed/out" || { cat "$work/$seed/out"; exit 1; }
    tail -n 1 "$work/$seed/out"
done
grep -q 'record-rejected .*name="0-odd-1"' "$work"/921/node-*.log || { echo "no odd entry is logged"; exit 1; }
grep -q 'record-rejected .*name="0-port-' "$work"/921/node-*.log || { echo "no port out of range is logged"; exit 1; }

#!/usr/bin/env bash
# Guards the promises to callers under faults from outside: writes at most once, true refusals, own writes read back, no
# acknowledgement by a superseded primary, service after the faults. A short run with a fixed seed; the seeds that ever
# failed, with their causes, are in seeds.txt beside this file.
set -euo pipefail
bin=${CITRONLUG_BIN:?set CITRONLUG_BIN to the build directory}
here=$(dirname "${BASH_SOURCE[0]}")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for seed in 1 $(grep -oE '^[0-9]+' "$here/seeds.txt" || true); do
    mkdir "$work/$seed"
    "$bin/platform/standin/citronlug-soak" --program "$bin/platform/citronlug-sessiond" --logs "$work/$seed" --seed "$seed" \
        --seconds 12 >"$work/$seed/out" || { cat "$work/$seed/out"; exit 1; }
    tail -n 1 "$work/$seed/out"
done

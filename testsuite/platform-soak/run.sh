#!/usr/bin/env bash
# Guards against broken guarantees to callers under injected faults: a write runs at most once, a refused write has no
# effect, a session reads its own writes, a superseded primary acknowledges nothing, and service resumes after the faults.
# Runs seed 1 for a short time, then each seed of seeds.txt, which lists seeds that once failed and the causes.
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

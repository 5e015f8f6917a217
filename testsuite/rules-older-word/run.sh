#!/usr/bin/env bash
# Guards against an instance that takes the word of a coordinator with older rules for there being nothing newer.
set -euo pipefail
bin=${CITRONLUG_BIN:?set CITRONLUG_BIN to the build directory}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$bin/platform/standin/citronlug-delivery" --program "$bin/platform/citronlug-sessiond" --logs "$work" --case rules-older-word

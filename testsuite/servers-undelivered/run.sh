#!/usr/bin/env bash
# Guards against an instance that keeps an old list of servers because its coordinator does not deliver the newer one.
set -euo pipefail
bin=${CITRONLUG_BIN:?set CITRONLUG_BIN to the build directory}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$bin/platform/standin/citronlug-delivery" --program "$bin/platform/citronlug-sessiond" --logs "$work" --case servers-undelivered

#!/usr/bin/env bash
# Guards against an instance that keeps old rules because its coordinator names a newer version without delivering it.
set -euo pipefail
bin=${CITRONLUG_BIN:?set CITRONLUG_BIN to the build directory}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$bin/platform/standin/citronlug-delivery" --program "$bin/platform/citronlug-sessiond" --logs "$work" --case rules-undelivered

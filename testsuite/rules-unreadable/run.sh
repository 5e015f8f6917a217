#!/usr/bin/env bash
# Guards against a coordinator that vouches for its rules although it could not read the newest ones.
set -euo pipefail
bin=${CITRONLUG_BIN:?set CITRONLUG_BIN to the build directory}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$bin/platform/standin/citronlug-delivery" --program "$bin/platform/citronlug-sessiond" --logs "$work" --case rules-unreadable

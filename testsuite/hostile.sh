# Runs one kind of callers of citronlug-hostile-callers. Source this file with CITRONLUG_BIN set, then: hostile_callers KIND
set -euo pipefail
bin=${CITRONLUG_BIN:?set CITRONLUG_BIN to the build directory}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

hostile_callers() {
    "$bin/platform/standin/citronlug-hostile-callers" --program "$bin/platform/citronlug-sessiond" --logs "$work" --kind "$1" ||
        { tail -n 5 "$work"/instance.*; exit 1; }
    if grep -hE 'key-[0-9]' "$work"/instance.log; then
        echo "the log contains a caller's key" >&2
        exit 1
    fi
}

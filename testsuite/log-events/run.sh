#!/usr/bin/env bash
# Guards against log events and metrics of session instances that docs/OPERATIONS.md does not explain.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
page=docs/OPERATIONS.md
missing=0
events=$(sed -n '/name_table<log_event>/,/};/p' src/include/citronlug/log_events.h | grep -oE '"[a-z-]+"' | tr -d '"')
series=$(grep -rhoE '"citronlug_[a-z_]+"' src/sessiond src/libcitronlug/session_*.cpp | tr -d '"' | sort -u)
[ -n "$events" ] && [ -n "$series" ] || { echo "no log events or no metrics found in the sources" >&2; exit 1; }
for it in $events $series; do
    grep -q "\`$it[\`{]" "$page" || { echo "$page does not explain $it" >&2; missing=1; }
done
exit "$missing"

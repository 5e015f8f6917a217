#!/usr/bin/env bash
# Guards against excessive processor and memory use by the control traffic of instances that serve no requests, in a
# full cell: at most 1.7% of a core on average and 256 MB in each instance.
set -euo pipefail
instances=9 databases=3
source "$(dirname "${BASH_SOURCE[0]}")/../../src/bench/cluster.sh"
start_cluster
sleep 6
"$bin/src/bench/citronlug-bench" --mode usage --cluster "$work/cluster.json" --seconds 8 | tee "$work/usage"
awk '{ share += $2; if ($6 > 256) exit 1 } END { exit !(NR == 9 && share / NR <= 1.7) }' "$work/usage" ||
    die "an instance uses more than 256 MB, or the mean exceeds 1.7% of a core"

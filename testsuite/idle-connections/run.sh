#!/usr/bin/env bash
# Guards against idle connections that slow down the requests of other callers. With 3,040 of them open, the share of
# one node at the target size, the median latency that the proxy adds must stay below 1 ms.
set -euo pipefail
instances=1 databases=1
source "$(dirname "${BASH_SOURCE[0]}")/../../src/bench/cluster.sh"
start_cluster
bench="$bin/src/bench/citronlug-bench --cluster $work/cluster.json"
$bench --mode prepare --profile "$here/profiles/$profile.json"
$bench --mode idle --concurrency 3040 --seconds 7 &
idle=$!
sleep 3
$bench --mode overhead --seconds 3 --json "$work/overhead.json"
wait "$idle"
added=$(number_of added_p50_us "$(cat "$work/overhead.json")")
[ "$added" -lt 1000 ] || die "the proxy adds $added us to the median latency, the limit is 1000 us"

#!/usr/bin/env bash
# Guards callers against the cost of others' idle connections: with 3,040 of them, a node's share at the target size,
# the added median latency stays under 1 ms.
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
[ "$added" -lt 1000 ] || die "the added median is $added us"

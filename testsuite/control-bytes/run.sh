#!/usr/bin/env bash
# Guards against excessive control traffic between instances that serve no requests: at most 8 KB/s per instance in a
# full cell, with both directions of each connection counted once. The count covers all traffic on the loopback
# interface, so nothing else may use it during the test.
set -euo pipefail
instances=9 databases=3
source "$(dirname "${BASH_SOURCE[0]}")/../../src/bench/cluster.sh"
start_cluster
sleep 6
bytes() { awk '/lo:/ { print $2 }' /proc/net/dev; }
before=$(bytes)
sleep 8
rate=$((($(bytes) - before) / 8 / instances))
echo "$rate B/s per instance"
[ "$rate" -le 8000 ] || die "$rate B/s per instance exceeds the limit of 8000 B/s"

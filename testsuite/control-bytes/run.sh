#!/usr/bin/env bash
# Guards the control traffic of a quiet fleet: at most 8 KB/s per instance in a full cell, both directions of each
# connection counted once. It counts all bytes on loopback, so nothing else may use it meanwhile.
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
[ "$rate" -le 8000 ] || die "$rate B/s per instance is over 8000"

#!/usr/bin/env bash
# capacity.sh BUILD_DIR [PART...]: measures the slopes that docs/CAPACITY.md uses. Parts: fleet databases
# connections rules statements. Each line of the result states what was varied and what one instance used.
set -euo pipefail
export CITRONLUG_BIN=$1
shift
parts=("$@")
[ ${#parts[@]} -gt 0 ] || parts=(fleet databases connections rules statements)
bench=$CITRONLUG_BIN/src/bench/citronlug-bench
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
settle=6
interval=8

loopback_bytes() { awk '/lo:/ { print $2 }' /proc/net/dev; }
store_calls() { curl -s "http://127.0.0.1:$store_port/counters" | awk -F'[:,]' '/"calls"/ { on = 1 } /}/ { on = 0 } on && NF > 1 { n += $2 } END { print n + 0 }'; }

# Prints mean processor share, mean memory, loopback bytes and store calls per second of a quiet fleet.
quiet_usage() {
    sleep "$settle"
    local bytes=-$(loopback_bytes) calls=-$(store_calls)
    "$bench" --mode usage --cluster "$work/cluster.json" --seconds "$interval" >"$work/usage"
    bytes=$((bytes + $(loopback_bytes)))
    calls=$((calls + $(store_calls)))
    awk -v n="$instances" -v t="$interval" -v bytes="$bytes" -v calls="$calls" \
        '{ share += $2; memory += $6 } END { printf "%.2f%% of a core, %.1f MB, %.1f KB/s on loopback per instance, %.1f store calls/s in all\n", share / NR, memory / NR, bytes / t / n / 1000, calls / t }' "$work/usage"
}

part_fleet() {
    local n
    for n in ${FLEET_SIZES:-3 9 27 81}; do
        (instances=$n databases=1; source "$here/cluster.sh"; start_cluster; echo "fleet of $n instances: $(quiet_usage)")
    done
}

part_databases() {
    local n
    for n in 3 9 27; do
        (instances=9 databases=$n; source "$here/cluster.sh"; start_cluster; echo "$n databases on 9 instances: $(quiet_usage)")
    done
}

part_connections() {
    (instances=1 databases=1; source "$here/cluster.sh"; start_cluster
     "$bench" --mode idle --cluster "$work/cluster.json" --concurrency 8000 --seconds 5)
}

part_rules() {
    local n
    for n in 0 800 4000; do
        (instances=9 databases=1 extra_rules=$(seq "$n" | sed 's/.*/limit account-& rate=10 burst=10  # Sales: contract &/')$'\n'
         source "$here/cluster.sh"
         start_cluster
         local start end
         start=$(date +%s%N)
         bench_rules | sed 's/rate=50000/rate=50001/' >"$work/changed.rules"
         CITRONLUG_TOKEN=$operator_token "$bin/src/citronlug/citronlug" --server "${admin_of[i2]}" rules apply "$work/changed.rules" --base newest --summary "capacity" --wait >/dev/null
         end=$(date +%s%N)
         echo "$n more limit lines on 9 instances: in force everywhere after $(((end - start) / 1000000)) ms, object $(curl -s "http://127.0.0.1:$store_port/objects/config" | wc -c) bytes, record $(curl -s "http://127.0.0.1:$store_port/objects/cells/c1" | wc -c) bytes; $(quiet_usage)")
    done
}

part_statements() {
    (instances=3 databases=3 statement_us=0; source "$here/cluster.sh"; start_cluster
     "$bench" --mode prepare --profile "$here/profiles/$profile.json" --cluster "$work/cluster.json"
     "$bench" --mode overhead --cluster "$work/cluster.json" --rate 200 --seconds 8
     "$bench" --mode throughput --cluster "$work/cluster.json" --concurrency 64 --seconds 8)
}

for part in "${parts[@]}"; do "part_$part"; done

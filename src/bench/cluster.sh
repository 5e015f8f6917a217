# Starts and stops the processes of a measurement or demonstration on loopback. Source this file, set the
# variables below if the defaults do not fit, then call cluster_start BUILD_DIR DATA_DIR. It ends only
# processes that it started, by their ids.

: "${profile:=karttapaja}" "${instances:=9}" "${cells:=1}" "${databases:=3}" "${members:=3}"
: "${slots:=5}" "${connections:=35}" "${connect_ms:=12}" "${lag_ms:=20}" "${statement_us:=400}"
: "${read_policy:=evidence}" "${queue_policy:=fair}" "${limit_policy:=granted}" "${connection_mode:=holder}"
: "${max_age:=5s}"

cluster_pids=()
operator_token=loopback-operator
export CITRONLUG_TOKEN=$operator_token

# First port of a range of 400 in which nothing listens. Below the ephemeral range of Linux.
free_port_range() {
    local base
    for base in $(seq $((12000 + (RANDOM % 40) * 400)) 400 31600); do
        if ! ss -Htln "sport >= :$base and sport < :$((base + 400))" 2>/dev/null | grep -q .; then
            echo "$base"
            return 0
        fi
    done
    return 1
}

# start_process NAME COMMAND...: output goes to files named after NAME.
start_process() {
    local name=$1
    shift
    "$@" >"$data/$name.out" 2>"$data/$name.log" &
    cluster_pids+=($!)
    echo $! >"$data/$name.pid"
}

wait_ready() {
    local name=$1 n
    for n in $(seq 100); do
        grep -q '^ready' "$data/$name.out" 2>/dev/null && return 0
        sleep 0.05
    done
    echo "$name did not start:" >&2
    cat "$data/$name.log" >&2
    return 1
}

instance_settings() {
    local n=$1 cell=c$(((n - 1) / 9 + 1)) domain=d$(((n - 1) % 3 + 1)) others="" other
    [ "$cells" -eq 1 ] && cell=c1
    for other in $(seq "$cells"); do
        [ "c$other" = "$cell" ] && continue
        others="$others${others:+, }\"c$other\": [\"127.0.0.1:$((port_base + 130 + (other - 1) * 9))\"]"
    done
    cat <<JSON
{
  "instance": "i$n", "cell": "$cell", "region": "r1", "failure_domain": "$domain",
  "caller_address": "127.0.0.1:$((port_base + 30 + n - 1))",
  "peer_address": "127.0.0.1:$((port_base + 130 + n - 1))",
  "admin_address": "127.0.0.1:$((port_base + 230 + n - 1))",
  "store_address": "127.0.0.1:$port_base",
  "admin_tokens": [{ "name": "loopback-operator", "sha256": "$(printf %s "$operator_token" | sha256sum | cut -d' ' -f1)" }],
  "peer_secret": "loopback-peer-secret-0123456789abcdef",
  "read_policy": "$read_policy", "queue_policy": "$queue_policy",
  "limit_policy": "$limit_policy", "connection_mode": "$connection_mode",
  "limits": { "connections": 12000 },
  "other_cells": { $others }
}
JSON
}

start_instance() {
    local n=$1
    instance_settings "$n" >"$data/i$n.json"
    start_process "i$n" "$bin/src/citronlugd/citronlugd" --settings "$data/i$n.json"
}

start_database() {
    local n=$1 base=$((port_base + 330 + (n - 1) * 4))
    start_process "db$n" "$bin/src/standin/citronlug-standin-db" --members "$members" --base-port "$base" \
        --control-port $((base + 3)) --slots "$slots" --max-connections "$connections" \
        --connect-delay-ms "$connect_ms" --lag-ms "$lag_ms" --statement-us "$statement_us" \
        --schema "$here/schema.sql" --seed "$n"
    wait_ready "db$n"
}

member_list() {
    local base=$((port_base + 330 + ($1 - 1) * 4)) n out=""
    for n in $(seq 0 $((members - 1))); do
        out="$out${out:+,}127.0.0.1:$((base + n))"
    done
    echo "$out"
}

# Rules of the measurement: one database, five routes for it, and a limit for each client account.
write_rules() {
    local n account rate burst
    for n in $(seq "$databases"); do
        echo "database orders-$n cell=c$(((n - 1) % cells + 1)) members=$(member_list "$n") slots=$slots connections=$connections  # Bench: database under load"
        echo "route catalogue-$n database=orders-$n mode=read max-age=$max_age  # Web team: pages may be slightly old"
        echo "route proof-$n database=orders-$n mode=read max-age=$max_age  # Studio: drafts under approval"
        echo "route approve-$n database=orders-$n mode=write idempotent=no ack=primary  # Studio: approval of drafts"
        echo "route order-$n database=orders-$n mode=write idempotent=no ack=replica  # Print floor: paid orders"
        echo "route ticker-$n database=orders-$n mode=write idempotent=yes ack=primary  # Bench: freshness marker"
    done
    while read -r account rate burst; do
        echo "limit $account rate=$rate burst=$burst  # Sales: contract of $account"
    done < <(accounts)
    echo "limit ticker rate=2000 burst=500  # Bench: freshness marker"
}

# "ACCOUNT RATE BURST" lines of the profile.
accounts() {
    sed -nE 's/.*"account": "([^"]+)", "rate": ([0-9]+), "burst": ([0-9]+).*/\1 \2 \3/p' "$here/profiles/$profile.json"
}

admin_servers() {
    local n
    for n in $(seq "$instances"); do
        printf -- '--server 127.0.0.1:%s ' $((port_base + 230 + n - 1))
    done
}

cli() { "$bin/src/citronlug/citronlug" $(admin_servers) "$@"; }

write_cluster_file() {
    local n account key sep=""
    {
        echo '{ "instances": ['
        for n in $(seq "$instances"); do
            echo "$sep{\"id\":\"i$n\",\"caller\":\"127.0.0.1:$((port_base + 30 + n - 1))\",\"admin\":\"127.0.0.1:$((port_base + 230 + n - 1))\",\"pid\":$(cat "$data/i$n.pid")}"
            sep=,
        done
        echo '], "databases": ['
        sep=""
        for n in $(seq "$databases"); do
            echo "$sep{\"id\":\"orders-$n\",\"control\":\"127.0.0.1:$((port_base + 333 + (n - 1) * 4))\",\"members\":[\"$(member_list "$n" | sed 's/,/","/g')\"]}"
            sep=,
        done
        echo "], \"store\": \"127.0.0.1:$port_base\", \"admin_token\": \"$operator_token\", \"keys\": {"
        sep=""
        while read -r account key; do
            echo "$sep\"$account\":\"$key\""
            sep=,
        done <"$data/keys"
        echo '} }'
    } >"$data/cluster.json"
}

cluster_start() {
    bin=$1
    data=$2
    here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
    mkdir -p "$data"
    port_base=$(free_port_range)
    trap cluster_stop EXIT
    start_process store "$bin/src/standin/citronlug-standin-store" --port "$port_base"
    wait_ready store
    local n account
    for n in $(seq "$databases"); do start_database "$n"; done
    for n in $(seq "$instances"); do start_instance "$n"; done
    write_rules >"$data/bench.rules"
    for n in $(seq 60); do
        cli rules apply "$data/bench.rules" --base newest --summary "measurement" --wait >"$data/apply.out" 2>&1 && break
        sleep 0.25
    done
    : >"$data/keys"
    for account in $(accounts | cut -d' ' -f1) ticker; do
        echo "$account $(cli key issue "$account" --requester "Bench: load of $account" | grep -oE 'ck_[0-9a-f]+_[0-9a-f]+')" >>"$data/keys"
    done
    write_cluster_file
}

cluster_stop() {
    local pid
    for pid in "${cluster_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${cluster_pids[@]}"; do
        timeout 12 tail --pid="$pid" -f /dev/null || kill -KILL "$pid" 2>/dev/null || true
    done
    cluster_pids=()
}

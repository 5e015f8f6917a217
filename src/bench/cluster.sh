# Starts the processes of a measurement on loopback and writes the file that citronlug-bench reads. Source this
# file after setting the variables below where the defaults do not fit, then call start_cluster. It needs
# CITRONLUG_BIN, the build directory.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
source "$here/../../testsuite/lib.sh"

: "${profile:=karttapaja}" "${instances:=9}" "${extra_rules:=}" "${databases:=3}"
: "${slots:=5}" "${connections:=35}" "${connect_ms:=12}" "${lag_ms:=20}" "${statement_us:=400}"
: "${read_policy:=evidence}" "${queue_policy:=fair}" "${limit_policy:=granted}"
: "${max_age:=5s}"

# "ACCOUNT RATE BURST" lines of the profile.
accounts() {
    sed -nE 's/.*"account": "([^"]+)", "rate": ([0-9]+), "burst": ([0-9]+).*/\1 \2 \3/p' "$here/profiles/$profile.json"
}

# One database, five routes for it, and a limit for each client account.
bench_rules() {
    local n account rate burst cells=$(((instances + 8) / 9))
    for n in $(seq "$databases"); do
        echo "database orders-$n cell=c$(((n - 1) % cells + 1)) members=${members_of[orders-$n]} slots=$slots connections=$connections  # Bench: database under load"
        echo "route catalogue-$n database=orders-$n mode=read max-age=$max_age  # Web team: pages may be slightly old"
        echo "route proof-$n database=orders-$n mode=read max-age=$max_age  # Studio: drafts under approval"
        echo "route approve-$n database=orders-$n mode=write idempotent=no ack=replica  # Studio: approval of drafts"
        echo "route order-$n database=orders-$n mode=write idempotent=no ack=replica  # Print floor: paid orders"
        echo "route ticker-$n database=orders-$n mode=write idempotent=yes ack=primary  # Bench: freshness marker"
    done
    while read -r account rate burst; do
        echo "limit $account rate=$rate burst=$burst  # Sales: contract of $account"
    done < <(accounts)
    echo "limit ticker rate=50000 burst=50000  # Bench: freshness marker"
    printf '%s' "$extra_rules"
}

write_cluster_file() {
    local n account key sep=""
    {
        echo '{ "instances": ['
        for n in $(seq "$instances"); do
            echo "$sep{\"id\":\"i$n\",\"caller\":\"${caller_of[i$n]}\",\"admin\":\"${admin_of[i$n]}\",\"pid\":${pid_of[i$n]}}"
            sep=,
        done
        echo '], "databases": ['
        sep=""
        for n in $(seq "$databases"); do
            echo "$sep{\"id\":\"orders-$n\",\"control\":\"127.0.0.1:${control_of[orders-$n]}\",\"members\":[\"${members_of[orders-$n]//,/\",\"}\"]}"
            sep=,
        done
        echo "], \"store\": \"127.0.0.1:$store_port\", \"admin_token\": \"$operator_token\", \"keys\": {"
        sep=""
        while read -r account key; do
            echo "$sep\"$account\":\"$key\""
            sep=,
        done <"$work/keys"
        echo '} }'
    } >"$work/cluster.json"
}

all_healthy() {
    local n
    for n in $(seq "$instances"); do
        curl -sf -m 1 -o /dev/null "http://${caller_of[i$n]}/healthz" || return 1
    done
}

# Seed addresses of the first COUNT cells, whose instances run already.
other_cells() {
    local cell sep=""
    for cell in $(seq "$1"); do
        printf '%s"c%s": ["%s"]' "$sep" "$cell" "${peer_of[i$(((cell - 1) * 9 + 1))]}"
        sep=", "
    done
}

has_majority() { [[ $(admin i1 GET /status) == *'"majority":true'* ]]; }

start_cluster() {
    local n account
    start_store
    for n in $(seq "$databases"); do
        start_group "orders-$n" "$here/schema.sql" --slots "$slots" --max-connections "$connections" \
            --connect-delay-ms "$connect_ms" --lag-ms "$lag_ms" --statement-us "$statement_us" --seed "$n"
    done
    EXTRA_SETTINGS=", \"read_policy\": \"$read_policy\", \"queue_policy\": \"$queue_policy\",
        \"limit_policy\": \"$limit_policy\",
        \"limits\": {\"connections\": 12000}"
    local base_settings=$EXTRA_SETTINGS
    for n in $(seq "$instances"); do
        CELL=c$(((n - 1) / 9 + 1))
        EXTRA_SETTINGS="$base_settings, \"other_cells\": {$(other_cells $(((n - 1) / 9)))}"
        start_instance "i$n" "d$(((n - 1) % 3 + 1))"
    done
    wait_for 20 apply_rules i1 "$(bench_rules)" || die "rules were not accepted: ${result:-}"
    # While instances join, one that accepted the rules may lack contact with the grown majority for a moment.
    wait_for 20 all_healthy || die "not all instances serve"
    wait_for 20 has_majority || die "no contact with a majority"
    : >"$work/keys"
    for account in $(accounts | cut -d' ' -f1) ticker; do
        issue_key i1 "$account"
        echo "$account $key" >>"$work/keys"
    done
    write_cluster_file
}

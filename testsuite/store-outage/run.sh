#!/usr/bin/env bash
# Guards against an outage of the store that stops requests. The store is down for longer than the lease: holders must
# keep their roles through heartbeats between the instances. Changes of the rules must be refused during the outage and
# accepted after it.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
start_fleet
fault "$store_port" '{"kind": "outage"}'
end=$(($(now_ms) + 8000))
n=0
while [ "$(now_ms)" -lt "$end" ]; do
    for it in a b c; do
        n=$((n + 1))
        order "$it" "outage-$n" 2000
        QUIET=1 expect "order $n through $it during the outage" 200 "$status"
    done
    sleep 0.1
done
echo "ok: $n orders during the outage"
apply_rules a "$rules
limit second rate=5 burst=5  # Sales: during the outage" && die "rules were applied without the store"
fault "$store_port" '{"kind": "heal"}'
wait_for 10 apply_rules a "$rules
limit second rate=5 burst=5  # Sales: after the outage" || die "rules were refused after the outage: $result"
echo "ok: rules applied after the outage"

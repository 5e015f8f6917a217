#!/usr/bin/env bash
# Guards against lost orders and long outages when the primary crashes. The holder must promote a replica so that a write
# succeeds within 8 s, and an order that was acknowledged with ack=replica must survive.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
start_fleet
order "${others[0]}" before
expect "order before the crash" 200 "$status"
session=$(text_of session "$reply")
fault "${control_of[orders-1]}" '{"member": 0, "kind": "crash"}'
start=$(now_ms)
n=0
until order "${others[0]}" "after-$n" 8000 && [ "$status" = 200 ]; do
    n=$((n + 1))
    [ $(($(now_ms) - start)) -lt 8000 ] || die "no write within 8 s: $status $reply"
done
echo "failover gap: $(($(now_ms) - start)) ms"
read_order "${others[1]}" before "$session"
expect "the session reads its write after the change" '["before","paid"]' "$(grep -o '\["before","paid"\]' <<<"$reply")"

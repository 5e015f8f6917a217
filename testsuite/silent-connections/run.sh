#!/usr/bin/env bash
# Guards against requests that wait on dead connections. The open connections to the primary stop responding without
# being closed, while new ones work: requests on them must end as unknown within their deadline, the repeated request must
# return the outcome, and later requests must use new connections.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
start_fleet
fault "${control_of[orders-1]}" '{"member": 0, "kind": "silent"}'
start=$(now_ms)
order "${others[0]}" silent 8000
[ "$status" = 504 ] || [ "$status" = 200 ] || [ "$status" = 503 ] || die "unexpected answer $status $reply"
echo "first answer: $status after $(($(now_ms) - start)) ms"
n=0
until order "${others[1]}" silent 3000 && [ "$status" = 200 ]; do
    n=$((n + 1))
    [ $(($(now_ms) - start)) -lt 15000 ] || die "no answer to the repeated request: $status $reply"
    sleep 0.2
done
echo "ok: outcome known after $(($(now_ms) - start)) ms"
order "${others[0]}" next
expect "a new order" 200 "$status"

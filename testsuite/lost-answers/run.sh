#!/usr/bin/env bash
# The primary commits an order but its answer is lost. The caller hears "outcome unknown", or the recorded
# outcome; the repeated request returns the recorded outcome and there is one order.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
start_fleet
for n in 1 2 3; do
    fault "${control_of[orders-1]}" '{"member": 0, "kind": "lose-answers", "n": 1}'
    order "${others[0]}" "lost-$n"
    first=$status
    [ "$first" = 504 ] || [ "$first" = 200 ] || die "answer lost: $status $reply"
    order "${others[1]}" "lost-$n"
    expect "repeated request $n (first answer $first)" 200 "$status"
    [[ $reply == *'"replayed":true'* ]] || die "the repeated request was run again: $reply"
done
# The store's answers are lost after their effect: instances must read back before they decide.
fault "$store_port" '{"kind": "lose-answers", "n": 2}'
kill_process "$holder"
order "${others[0]}" takeover
expect "order after a takeover whose store answers were lost" 200 "$status"

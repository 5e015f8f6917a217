#!/usr/bin/env bash
# Guards against an order placed twice because an answer was lost. The primary commits the order but its answer does not
# arrive: the caller must get "outcome unknown" or the recorded outcome, and the repeated request must return the
# recorded outcome without running again.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
start_fleet
for n in 1 2 3; do
    fault "${control_of[orders-1]}" '{"member": 0, "kind": "lose-answers", "n": 1}'
    order "${others[0]}" "lost-$n"
    first=$status
    [ "$first" = 504 ] || [ "$first" = 200 ] || die "order whose answer was lost: $status $reply"
    order "${others[1]}" "lost-$n"
    expect "repeated request $n (first answer $first)" 200 "$status"
    [[ $reply == *'"replayed":true'* ]] || die "the repeated request ran again: $reply"
done
# The store makes the change but its answers are lost: instances must read the record again before they act on it.
fault "$store_port" '{"kind": "lose-answers", "n": 2}'
kill_process "$holder"
order "${others[0]}" takeover
expect "order after a takeover whose store answers were lost" 200 "$status"

#!/usr/bin/env bash
# Guards against lost or duplicated writes, and a takeover longer than 8 s, when the holder is killed without a
# hand-over. The session of an earlier write must read it through another instance, and the request of that write,
# repeated there, must return the recorded outcome instead of running again.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
start_fleet
order "$holder" before
expect "order through the holder" 200 "$status"
session=$(text_of session "$reply")
start=$(now_ms)
kill_process "$holder"
order "${others[0]}" after
takeover_ms=$(($(now_ms) - start))
expect "order after the holder was killed" 200 "$status"
[ "$takeover_ms" -lt 8000 ] || die "takeover took $takeover_ms ms"
echo "takeover: $takeover_ms ms"
read_order "${others[1]}" before "$session"
expect "the session reads its write on another instance" '"rows":[["before","paid"]]' "$(grep -o '"rows":.*\]\]' <<<"$reply")"
order "${others[1]}" before
expect "a repeated request is answered" 200 "$status"
[[ $reply == *'"replayed":true'* ]] || die "the repeated request ran again: $reply"

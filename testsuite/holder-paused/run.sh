#!/usr/bin/env bash
# Guards against two holders writing to one database. The holder is stopped for 5 s, longer than its lease, so another
# instance takes over; when it continues, it must not use its expired role. Each request that it had received must end
# as done by the new holder, as "not run" without an effect, or as unknown.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
start_fleet
kill -STOP "${pid_of[$holder]}"
start=$(now_ms)
( order "$holder" paused 7000; echo "$status $reply" >"$work/paused.answer" ) &
client=$!
# A request forwarded to the stopped instance ends as unknown (504); repeating it returns the outcome.
until order "${others[0]}" during && [ "$status" = 200 ]; do
    [ "$status" = 504 ] || die "order while the holder is stopped: $status $reply"
    [ $(($(now_ms) - start)) -lt 8000 ] || break
done
takeover_ms=$(($(now_ms) - start))
expect "order while the holder is stopped" 200 "$status"
[ "$takeover_ms" -lt 8000 ] || die "takeover took $takeover_ms ms"
echo "takeover: $takeover_ms ms"
while [ $(($(now_ms) - start)) -lt 5000 ]; do sleep 0.1; done
kill -CONT "${pid_of[$holder]}"
wait "$client" || true
sleep 1
answer=$(cat "$work/paused.answer")
read_order "${others[0]}" paused
expect "read after the pause" 200 "$status"
case "$answer" in
    200*) [[ $reply == *'["paused","paid"]'* ]] || die "acknowledged but not stored: $answer" ;;
    504*|000*) ;;
    *) [[ $reply != *'["paused","paid"]'* ]] || die "reported as not run but stored: $answer" ;;
esac
echo "answer to the request sent during the pause: ${answer:0:120}"
wait_for 10 order_succeeds "$holder" resumed || die "the resumed instance does not serve: $status $reply"
new_holder=$(holder_of orders-1 "$holder" "${others[@]}") || die "no holder"
[ "$new_holder" != "$holder" ] || die "the stopped instance still holds the database"

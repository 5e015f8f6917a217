#!/usr/bin/env bash
# Guards against failed requests when the holder is shut down. On SIGTERM it hands the database over while orders
# arrive at the other instances: all of them must succeed, its health check must change to 503 and the process must
# exit within 10 s.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
start_fleet
leaving=$holder
start=$(now_ms)
kill -TERM "${pid_of[$leaving]}"
sleep 0.3
serving "$leaving" && die "the health check still succeeds after SIGTERM"
n=0
while kill -0 "${pid_of[$leaving]}" 2>/dev/null; do
    n=$((n + 1))
    order "${others[$((n % 2))]}" "leave-$n" 6000
    [ "$status" = 200 ] || die "order $n during the hand-over: $status $reply"
    [ $(($(now_ms) - start)) -lt 10000 ] || die "the process did not exit within 10 s"
done
wait "${pid_of[$leaving]}" || die "the process exited with an error"
echo "exited after $(($(now_ms) - start)) ms, $n orders during the hand-over"
unset "pid_of[$leaving]"
order "${others[0]}" after
expect "order afterwards" 200 "$status"

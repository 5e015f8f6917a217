#!/usr/bin/env bash
# An instance that holds the database leaves on SIGTERM while orders run: none fails, the health check turns to
# 503 and the process ends within 10 s.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
start_fleet
leaving=$holder
start=$(now_ms)
kill -TERM "${pid_of[$leaving]}"
sleep 0.3
serving "$leaving" && die "the health check still says serving"
n=0
while kill -0 "${pid_of[$leaving]}" 2>/dev/null; do
    n=$((n + 1))
    order "${others[$((n % 2))]}" "leave-$n" 6000
    [ "$status" = 200 ] || die "order $n during the hand-over: $status $reply"
    [ $(($(now_ms) - start)) -lt 10000 ] || die "the process still runs after 10 s"
done
wait "${pid_of[$leaving]}" || die "the process ended with an error"
echo "left after $(($(now_ms) - start)) ms, $n orders meanwhile"
unset "pid_of[$leaving]"
order "${others[0]}" after
expect "order afterwards" 200 "$status"

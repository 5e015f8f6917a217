#!/usr/bin/env bash
# Guards against a revoked key that still works, because an instance or an open transaction has not yet applied the
# change. Every instance must refuse the key within 3 s and its open transaction must be rolled back; other keys must stay
# valid, and no log may contain a key.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
start_fleet
first_key=$key first_key_id=$key_name
issue_key a shop
second_key=$key
for it in a b c; do
    wait_for 6 order_succeeds "$it" "second-key-$it" || die "instance $it does not accept the second key: $status $reply"
done
key=$first_key
post b /v1/routes/mark/transactions "$first_key" '{}'
expect "begin" 200 "$status"
transaction=$(text_of transaction "$reply")
post c "/v1/transactions/$transaction/statements" "$first_key" '{"sql":"INSERT INTO orders (id, item, state) VALUES ($1, $2, $3)","parameters":["tx","map","paid"]}'
expect "statement in the transaction" 200 "$status"
post c "/v1/transactions/$transaction/statements" "$second_key" '{"sql":"SELECT id FROM orders"}'
expect "a transaction belongs to the key that began it" 404 "$status"
admin a POST "/keys/$first_key_id/withdraw" '{"reason": "tests", "requester": "tests"}' >/dev/null
start=$(now_ms)
while :; do
    refused=0
    for it in a b c; do
        post "$it" /v1/routes/status "$first_key" '{"sql":"SELECT id FROM orders"}'
        [ "$status" = 401 ] && refused=$((refused + 1))
    done
    [ "$refused" -lt 3 ] || break
    [ $(($(now_ms) - start)) -lt 3000 ] || die "an instance still accepts the revoked key after 3 s: $status $reply"
done
echo "revoked everywhere after $(($(now_ms) - start)) ms"
post b "/v1/transactions/$transaction/commit" "$first_key" '{}'
expect "commit with the revoked key" 401 "$status"
no_transaction() { [[ $(admin "$holder" GET /status) == *'"open_transactions":0'* ]]; }
wait_for 2 no_transaction || die "the transaction of the revoked key is still open"
key=$second_key
read_order a tx
[[ $reply == *'"rows":[]'* ]] || die "the statement of the aborted transaction is stored: $reply"
expect "the second key works" 200 "$status"
grep -h "${first_key##*_}\|${second_key##*_}" "$work"/*.log && die "a log contains a key"
echo "ok: no key in the logs"

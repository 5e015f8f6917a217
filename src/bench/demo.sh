#!/usr/bin/env bash
# demo.sh BUILD_DIR: starts the stand-ins and three instances on free loopback ports, runs one session of a
# caller and prints what happens. It ends only the processes that it started.
set -euo pipefail
CITRONLUG_BIN=${1:?usage: demo.sh BUILD_DIR}
export CITRONLUG_BIN
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
# shellcheck source=testsuite/lib.sh
. "$here/../../testsuite/lib.sh"

say() { printf '\n== %s\n' "$*"; }
show() { echo "HTTP $status $reply"; }

cat >"$work/schema.sql" <<'SQL'
CREATE TABLE orders (id text PRIMARY KEY, item text, state text);
SQL

say "Start the platform's stand-ins: object store and one database group of three members"
start_store
start_group orders-1 "$work/schema.sql" --slots 5 --lag-ms 50
echo "store 127.0.0.1:$store_port, members ${members_of[orders-1]}"

say "Start three instances in three failure domains"
start_instance a north-1
start_instance b north-2
start_instance c north-3
for it in a b c; do
    wait_for 20 in_table $it || die "instance $it is not in the table of the cell"
done

say "Apply rules and issue a key"
rules="database orders-1 cell=c1 members=${members_of[orders-1]} slots=5 connections=35  # Aino Laine: order database
route print-order database=orders-1 mode=write idempotent=no ack=replica  # Print floor: paid maps
route order-status database=orders-1 mode=read max-age=5s  # Web team: order page
limit school-shop rate=50 burst=100  # Sales: contract 12"
echo "$rules"
apply_rules a "$rules" || die "rules refused: $result"
issue_key a school-shop
echo "key ck_${key_name}_... for client account school-shop"
for it in a b c; do
    wait_for 20 serving $it || die "instance $it does not serve"
done
wait_for 10 holder_of orders-1 a b c || die "nobody holds the database"
echo "holder of orders-1: $(holder_of orders-1 a b c)"

say "A write through instance a"
post a /v1/routes/print-order "$key" '{"request_id":"order-1","deadline_ms":8000,"sql":"INSERT INTO orders (id, item, state) VALUES ($1, $2, $3)","parameters":["o-1","harbour map","paid"]}'
show
session=$(text_of session "$reply")

say "The same session reads its own write through instance b"
post b /v1/routes/order-status "$key" "{\"session\":\"$session\",\"sql\":\"SELECT * FROM orders WHERE id = \$1\",\"parameters\":[\"o-1\"]}"
show

say "The same request again: the recorded outcome, no second order"
post c /v1/routes/print-order "$key" '{"request_id":"order-1","deadline_ms":8000,"sql":"INSERT INTO orders (id, item, state) VALUES ($1, $2, $3)","parameters":["o-1","harbour map","paid"]}'
show

say "A read without a session, which a replica may answer"
sleep 0.3
post c /v1/routes/order-status "$key" '{"sql":"SELECT id, state FROM orders"}'
show

say "A request without a key is refused"
post b /v1/routes/print-order "" '{"request_id":"order-2","sql":"INSERT INTO orders (id, item, state) VALUES ($1, $2, $3)","parameters":["o-2","x","paid"]}'
show

say "End"

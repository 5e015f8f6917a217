#!/usr/bin/env bash
# Guards against changed answers to callers. Compares the session of a map printer with a reference: a draft, its
# approval and a paid order in one transaction, refused requests, and an order whose answer comes after its deadline, so
# that only the repeated request returns the outcome.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
cat >"$work/schema.sql" <<'SQL'
CREATE TABLE proofs (id text PRIMARY KEY, map text, state text);
CREATE TABLE orders (id text PRIMARY KEY, proof text, state text);
SQL
start_store
start_group orders-1 "$work/schema.sql" --slots 5 --lag-ms 20
FLEET_SIZE=2
start_instance a north-1
start_instance b north-2
for it in a b; do wait_for 20 in_table $it || die "instance $it is not in the member table of the cell, or has no majority"; done
apply_rules a "database orders-1 cell=c1 members=${members_of[orders-1]} slots=5 connections=35  # Aino Laine: order database
route draft database=orders-1 mode=write idempotent=no ack=primary  # Studio: drafts
route approve-proof database=orders-1 mode=write idempotent=no ack=replica  # Studio: approvals
route print-order database=orders-1 mode=write idempotent=no ack=replica  # Print floor: paid maps
route proof database=orders-1 mode=read max-age=5s  # Studio: drafts under approval
limit school-shop rate=100 burst=100  # Sales: contract 12
limit museum rate=100 burst=100  # Sales: contract 13" || die "rules refused: $result"
issue_key a museum
museum=$key
issue_key a school-shop
for it in a b; do
    wait_for 20 serving $it || die "instance $it does not serve"
    # An instance that accepts the newer key accepts the older one, too.
    key_accepted() { post "$1" /v1/routes/proof "$key" '{"sql":"SELECT id FROM proofs"}'; [ "$status" = 200 ]; }
    wait_for 10 key_accepted $it || die "instance $it does not accept the key: $status $reply"
done

post a /v1/routes/draft "$key" '{"request_id":"draft-7","sql":"INSERT INTO proofs (id, map, state) VALUES ($1, $2, $3)","parameters":["p-7","harbour","draft"]}'
step "a draft is stored"
session=$(text_of session "$reply")
post b /v1/routes/proof "$key" "{\"session\":\"$session\",\"sql\":\"SELECT map, state FROM proofs WHERE id = \$1\",\"parameters\":[\"p-7\"]}"
step "the session sees its draft on another instance"

post b /v1/routes/approve-proof/transactions "$key" '{"request_id":"approval-7"}'
step "the approval begins a transaction"
transaction=$(text_of transaction "$reply")
post a "/v1/transactions/$transaction/statements" "$key" '{"sql":"UPDATE proofs SET state = $1 WHERE id = $2","parameters":["approved","p-7"]}'
step "the proof is approved, through another instance"
post b "/v1/transactions/$transaction/statements" "$key" '{"sql":"INSERT INTO orders (id, proof, state) VALUES ($1, $2, $3)","parameters":["o-7","p-7","paid"]}'
step "the order is placed in the same transaction"
post a "/v1/transactions/$transaction/statements" "$museum" '{"sql":"SELECT state FROM proofs"}'
step "another client account cannot use the transaction"
post b "/v1/transactions/$transaction/commit" "$key" '{}'
step "commit"
session=$(text_of session "$reply")
post a /v1/routes/proof "$key" "{\"session\":\"$session\",\"sql\":\"SELECT state FROM proofs WHERE id = \$1\",\"parameters\":[\"p-7\"]}"
step "the session sees the approval"

post b /v1/routes/print-order "" '{"request_id":"order-8","sql":"INSERT INTO orders (id, proof, state) VALUES ($1, $2, $3)","parameters":["o-8","p-7","paid"]}'
step "an order without a key is refused"
post b /v1/routes/proof "$museum" "{\"session\":\"$session\",\"sql\":\"SELECT state FROM proofs\"}"
step "a session of another client account is refused"
post a /v1/routes/print-order "$key" '{"sql":"INSERT INTO orders (id, proof, state) VALUES ($1, $2, $3)","parameters":["o-8","p-7","paid"]}'
step "a write without a request id is refused"
post a /v1/routes/print-order "$key" '{"request_id":"order-9","sql":"INSERT INTO orders (id, proof, state) VALUES ($1, $2, $3)","parameters":["o-7","p-7","paid"]}'
step "the backend server refuses a second order of the same id"
post a /v1/routes/nowhere "$key" '{"sql":"SELECT id FROM orders"}'
step "an unknown route is refused"

fault "${control_of[orders-1]}" '{"member": 0, "kind": "late-answers", "n": 1, "ms": 3000}'
post a /v1/routes/print-order "$key" '{"request_id":"order-10","deadline_ms":600,"sql":"INSERT INTO orders (id, proof, state) VALUES ($1, $2, $3)","parameters":["o-10","p-7","paid"]}'
step "the answer to an order comes after the deadline"
post b /v1/routes/print-order "$key" '{"request_id":"order-10","deadline_ms":8000,"sql":"INSERT INTO orders (id, proof, state) VALUES ($1, $2, $3)","parameters":["o-10","p-7","paid"]}'
step "the repeated request tells the outcome"
compare testsuite/karttapaja/ref/session.txt

#!/usr/bin/env bash
# Guards against changed answers to callers. Compares the session of an equipment hire with a reference: a booking, a
# driver's list, a refused double booking, a repeated damage charge that must be posted once, and a charge whose answer
# comes after its deadline, so that only the repeated request returns the outcome.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
cat >"$work/schema.sql" <<'SQL'
CREATE TABLE bookings (unit text PRIMARY KEY, customer text, state text);
CREATE TABLE charges (id text PRIMARY KEY, unit text, pence text);
SQL
start_store
start_group hire-1 "$work/schema.sql" --slots 3 --lag-ms 20
FLEET_SIZE=2
start_instance a mid-1
start_instance b mid-2
for it in a b; do wait_for 20 in_table $it || die "instance $it is not in the member table of the cell, or has no majority"; done
apply_rules a "database hire-1 cell=c1 members=${members_of[hire-1]} slots=3 connections=40  # Joan Pike: hire database
route book database=hire-1 mode=write idempotent=no ack=replica  # Counter: bookings
route damage-charge database=hire-1 mode=write idempotent=no ack=replica  # Accounts: charges
route return-unit database=hire-1 mode=write idempotent=yes ack=primary  # Yard: returned units
route driver-list database=hire-1 mode=read max-age=2s  # Drivers: units to collect
limit depot-a rate=100 burst=100  # Sales: depot A" || die "rules refused: $result"
issue_key a depot-a
for it in a b; do
    wait_for 20 serving $it || die "instance $it does not serve"
    key_accepted() { post "$1" /v1/routes/driver-list "$key" '{"sql":"SELECT unit FROM bookings"}'; [ "$status" = 200 ]; }
    wait_for 10 key_accepted $it || die "instance $it does not accept the key: $status $reply"
done

post a /v1/routes/book "$key" '{"request_id":"booking-1","sql":"INSERT INTO bookings (unit, customer, state) VALUES ($1, $2, $3)","parameters":["digger-4","Hale","out"]}'
step "a unit is booked"
session=$(text_of session "$reply")
post b /v1/routes/driver-list "$key" "{\"session\":\"$session\",\"sql\":\"SELECT unit, customer FROM bookings WHERE state = \$1\",\"parameters\":[\"out\"]}"
step "the driver's list of the session shows it on another instance"
post b /v1/routes/book "$key" '{"request_id":"booking-2","sql":"INSERT INTO bookings (unit, customer, state) VALUES ($1, $2, $3)","parameters":["digger-4","Moss","out"]}'
step "the unit cannot be booked twice"
post a /v1/routes/return-unit "$key" '{"request_id":"return-1","sql":"UPDATE bookings SET state = $1 WHERE unit = $2","parameters":["returned","digger-4"]}'
step "the unit comes back"
post a /v1/routes/damage-charge "$key" '{"request_id":"charge-1","sql":"INSERT INTO charges (id, unit, pence) VALUES ($1, $2, $3)","parameters":["c-1","digger-4",12500]}'
step "a damage charge is posted"
post b /v1/routes/damage-charge "$key" '{"request_id":"charge-1","sql":"INSERT INTO charges (id, unit, pence) VALUES ($1, $2, $3)","parameters":["c-1","digger-4",12500]}'
step "the same request again posts no second charge"
post b /v1/routes/damage-charge "$key" '{"request_id":"charge-2","deadline_ms":"soon","sql":"INSERT INTO charges (id, unit, pence) VALUES ($1, $2, $3)","parameters":["c-2","digger-4",1]}'
step "a malformed request is refused"
post b /v1/routes/damage-charge ck_000000000000_00 '{"request_id":"charge-2","sql":"INSERT INTO charges (id, unit, pence) VALUES ($1, $2, $3)","parameters":["c-2","digger-4",1]}'
step "an unknown key is refused"

fault "${control_of[hire-1]}" '{"member": 0, "kind": "late-answers", "n": 1, "ms": 3000}'
post a /v1/routes/damage-charge "$key" '{"request_id":"charge-3","deadline_ms":600,"sql":"INSERT INTO charges (id, unit, pence) VALUES ($1, $2, $3)","parameters":["c-3","digger-4",900]}'
step "the answer to a charge comes after the deadline"
post b /v1/routes/damage-charge "$key" '{"request_id":"charge-3","deadline_ms":8000,"sql":"INSERT INTO charges (id, unit, pence) VALUES ($1, $2, $3)","parameters":["c-3","digger-4",900]}'
step "the repeated request tells the outcome"
post a /v1/routes/driver-list "$key" "{\"session\":\"$(text_of session "$reply")\",\"sql\":\"SELECT id, pence FROM charges ORDER BY id\"}"
step "each charge is there once"
compare testsuite/kettering/ref/session.txt

#!/usr/bin/env bash
# Guards against a committed transaction that is reported as "not run". A caller whose answer was lost repeats the
# commit, with or without a request id, and must get the outcome "done" again.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
start_fleet
for body in '' '{"request_id":"commit-1"}'; do
    post a /v1/routes/order/transactions "$key" '{}'
    transaction=$(text_of transaction "$reply")
    post b "/v1/transactions/$transaction/statements" "$key" "{\"sql\":\"INSERT INTO orders (id, item, state) VALUES (\$1, \$2, \$3)\",\"parameters\":[\"t${#body}\",\"map\",\"paid\"]}"
    expect "the statement runs" 200 "$status"
    post b "/v1/transactions/$transaction/commit" "$key" "$body"
    expect "the commit is done" done "$(text_of outcome "$reply")"
    post a "/v1/transactions/$transaction/commit" "$key" "$body"
    expect "the repeated commit is done, too" done "$(text_of outcome "$reply")"
done

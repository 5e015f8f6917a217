#!/usr/bin/env bash
# Guards against changed results of the command-line tool. Compares a session of two operators with a reference: a
# faulty rules file, a change, a change against an outdated version, a key that is issued, used and withdrawn, a lost
# answer of the store, and refusals while the store or the majority of the cell is unreachable.
cd "$(dirname "$0")/../.."
. testsuite/lib.sh
export CITRONLUG_TOKEN=$operator_token
tool=$bin/src/citronlug/citronlug

# operator ARGUMENT...: runs the tool and appends the command, its output and its exit code to the transcript, with
# placeholders for values that differ between runs.
operator() {
    local code=0
    "$tool" --server "${admin_of[a]}" --server "${admin_of[b]}" --server "${admin_of[c]}" "$@" \
        >"$work/tool.out" 2>"$work/tool.err" || code=$?
    {
        echo "$ citronlug $*"
        cat "$work/tool.out" "$work/tool.err"
        echo "[exit $code]"
        echo
    } | sed -E -e "s#$work/##g" -e 's/20[0-9]{2}-[0-9-]+T[0-9:.]+Z/<time>/g' -e 's/127\.0\.0\.1:[0-9]+/<address>/g' \
        -e 's/ck_[0-9a-f]+_[0-9a-f]+/<key>/g' -e 's/[0-9a-f]{12}/<id>/g' \
        -e 's/(version|against version|not|--base) [0-9]+/\1 <n>/g' >>"$work/transcript"
}
rules_version() { number_of version "$(admin a GET /rules)"; }

for it in share/*.rules; do "$tool" rules check "$it" || die "$it has errors"; done
"$bin/src/citronlugd/citronlugd" --settings share/citronlugd.json --check || die "share/citronlugd.json has errors"

start_fleet
printf '%s\n' "$rules" >"$work/one.rules"
sed 's/rate=1000 burst=1000/rate=800 burst=900/' "$work/one.rules" >"$work/two.rules"
echo 'limit museum rate=5 burst=5  # Sales: contract 15' >>"$work/two.rules"
{ cat "$work/one.rules"; echo 'route a database=orders-9 mode=read'; } >"$work/faulty.rules"
base=$(rules_version)
operator rules apply "$work/faulty.rules" --base "$base" --summary 'faulty'
operator rules diff "$work/two.rules"
operator rules apply "$work/two.rules" --base "$base" --summary 'contract 15' --wait
operator rules apply "$work/one.rules" --base "$base" --summary 'too late'

operator key issue museum --requester 'Sales: contract 15' --wait
museum=$(cat "$work/tool.out")
post b /v1/routes/status "$museum" '{"sql":"SELECT id FROM orders"}'
expect "the new key is valid" 200 "$status"
id=${museum#ck_}
operator key withdraw "${id%%_*}" --reason 'left the company' --wait
for it in a b c; do
    post $it /v1/routes/status "$museum" '{"sql":"SELECT id FROM orders"}'
    expect "instance $it refuses the withdrawn key" 401 "$status"
done
operator key list

fault "$store_port" '{"kind":"lose-answers","n":1}'
operator rules apply "$work/one.rules" --base newest --summary 'the answer of the store is lost' --wait
[ "$(admin a GET /history | grep -o 'the answer of the store is lost' | wc -l)" -eq 1 ] || die "the rules were not applied exactly once"
fault "$store_port" '{"kind":"outage","ms":60000}'
operator rules apply "$work/two.rules" --base newest --summary 'no store'
operator rules show
fault "$store_port" '{"kind":"heal"}'
for it in b c; do kill_process $it; done
no_majority() { [[ $(admin a GET /status) == *'"majority":false'* ]]; }
wait_for 10 no_majority || die "instance a still reports contact with a majority"
operator rules apply "$work/two.rules" --base newest --summary 'no majority'
compare testsuite/operators/ref/session.txt

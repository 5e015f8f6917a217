# Functions shared by the scripts of testsuite/ and src/bench/. Source this file with CITRONLUG_BIN set to the build
# directory. All processes listen on free loopback ports and write to a temporary directory; on exit, only the
# processes started here are killed.
set -euo pipefail

bin=${CITRONLUG_BIN:?set CITRONLUG_BIN to the build directory}
work=$(mktemp -d)
declare -A pid_of=() caller_of=() peer_of=() admin_of=() members_of=() control_of=()
store_port=0
operator_token=operator-token-for-tests
next_port=$((20000 + (RANDOM * 7 + $$) % 11000))

cleanup() {
    local name
    for name in "${!pid_of[@]}"; do
        kill -CONT "${pid_of[$name]}" 2>/dev/null || true
        kill -KILL "${pid_of[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

die() {
    echo "FAILED: $*" >&2
    for log in "$work"/*.log; do
        [ -e "$log" ] && { echo "--- ${log##*/}" >&2; tail -n "${LOG_LINES:-8}" "$log" >&2; }
    done
    exit 1
}

# Sets `port` to an unused port. The range below 32768 avoids the ephemeral ports that the system assigns itself.
free_port() {
    while :; do
        next_port=$((next_port + 1))
        [ "$next_port" -lt 32000 ] || next_port=20000
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; then
            port=$next_port
            return
        fi
    done
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; returns 1 after SECONDS.
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

# ready_line FILE: waits up to 10 s for the "ready ..." line in the output of a stand-in, and prints it.
ready_line() {
    wait_for 10 grep -q '^ready' "$1" || die "no ready line in $1"
    grep '^ready' "$1"
}

start_store() {
    "$bin/src/standin/citronlug-standin-store" "$@" >"$work/store.out" 2>"$work/store.log" &
    pid_of[store]=$!
    local line
    line=$(ready_line "$work/store.out")
    store_port=${line##*port=}
}

# start_group NAME SCHEMA_FILE [OPTION...]: starts the stand-in for a database group.
start_group() {
    local name=$1 schema=$2 line
    shift 2
    "$bin/src/standin/citronlug-standin-db" --schema "$schema" "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pid_of[$name]=$!
    line=$(ready_line "$work/$name.out")
    line=${line#*members=}
    control_of[$name]=${line##*control=}
    local ports=${line%% *}
    members_of[$name]=127.0.0.1:${ports//,/,127.0.0.1:}
}

# start_instance ID FAILURE_DOMAIN: starts an instance; one restarted under the same id keeps its addresses.
start_instance() {
    local id=$1 domain=$2 hash
    if [ -z "${caller_of[$id]:-}" ]; then
        free_port; caller_of[$id]=127.0.0.1:$port
        free_port; peer_of[$id]=127.0.0.1:$port
        free_port; admin_of[$id]=127.0.0.1:$port
    fi
    hash=$(printf %s "$operator_token" | sha256sum | cut -d' ' -f1)
    cat >"$work/$id.json" <<JSON
{"instance": "$id", "cell": "${CELL:-c1}", "region": "north", "failure_domain": "$domain",
 "caller_address": "${caller_of[$id]}", "peer_address": "${peer_of[$id]}", "admin_address": "${admin_of[$id]}",
 "store_address": "127.0.0.1:$store_port", "peer_secret": "peer-secret-for-tests-only-0123456789",
 "admin_tokens": [{"name": "tests", "sha256": "$hash"}]${EXTRA_SETTINGS:-}}
JSON
    "$bin/src/citronlugd/citronlugd" --settings "$work/$id.json" >>"$work/$id.out" 2>>"$work/$id.log" &
    pid_of[$id]=$!
}

# kill_process NAME: sends SIGKILL to a process that this script started and waits until it has ended.
kill_process() {
    kill -KILL "${pid_of[$1]}" 2>/dev/null || true
    wait "${pid_of[$1]}" 2>/dev/null || true
    unset "pid_of[$1]"
}

# admin INSTANCE METHOD PATH [BODY]: sends a request to the operator API and prints the response body.
admin() {
    local id=$1 method=$2 path=$3 body=${4:-}
    # The body is passed in a file because the system limits the length of an argument.
    printf '%s' "$body" >"$work/admin-body"
    curl -sS -m 8 -X "$method" -H "Authorization: Bearer $operator_token" ${body:+--data-binary "@$work/admin-body"} \
        "http://${admin_of[$id]}/admin/v1$path"
}

# json_text TEXT: prints the text as a JSON string.
json_text() {
    local text=${1//\\/\\\\}
    text=${text//\"/\\\"}
    printf '"%s"' "${text//$'\n'/\\n}"
}

# apply_rules INSTANCE TEXT: replaces the rules of the fleet. Sets `result` (the response) and `version`.
apply_rules() {
    local current
    current=$(admin "$1" GET /rules)
    version=$(number_of version "$current")
    result=$(admin "$1" POST /rules "{\"text\": $(json_text "$2"), \"expected_version\": ${version:-0}, \"summary\": \"tests\"}")
    version=$(number_of version "$result")
    [ -n "$version" ]
}

# issue_key INSTANCE ACCOUNT: sets `key` and `key_name` (its public id).
issue_key() {
    local result
    result=$(admin "$1" POST /keys "{\"account\": \"$2\", \"requester\": \"tests\"}")
    key=$(grep -o 'ck_[0-9a-f]*_[0-9a-f]*' <<<"$result" | head -1) || die "no key: $result"
    key_name=${key#ck_}
    key_name=${key_name%%_*}
}

# text_of FIELD JSON, number_of FIELD JSON: print the value of a string or a number field. They do not parse the
# nesting, so the name of the field must occur only once.
text_of() { sed -n "s/.*\"$1\":[ ]*\"\([^\"]*\)\".*/\1/p" <<<"$2" | head -1; }
number_of() { sed -n "s/.*\"$1\":[ ]*\(-\{0,1\}[0-9][0-9]*\).*/\1/p" <<<"$2" | head -1; }

# post INSTANCE PATH KEY BODY: sends a caller's request. Sets `status` (000: no response) and `reply`.
post() {
    status=$(curl -s -m "${CURL_TIME:-10}" -o "$work/reply" -w '%{http_code}' -X POST ${3:+-H "Authorization: Bearer $3"} \
        --data-binary "$4" "http://${caller_of[$1]}$2") || true
    reply=$(cat "$work/reply" 2>/dev/null || true)
    : >"$work/reply"
}

# expect CHECK EXPECTED ACTUAL: fails the test unless both values are equal. QUIET=1 prints failures only.
expect() {
    local check=$1 expected=$2 actual=$3
    [ "$expected" = "$actual" ] || die "$check: expected '$expected', found '$actual' in: ${reply:-}"
    [ -n "${QUIET:-}" ] || echo "ok: $check"
}

serving() { curl -sf -m 1 "http://${caller_of[$1]}/healthz" >/dev/null; }
has_authority() { [[ $(admin "$1" GET /status) == *'"authority":true'* ]]; }

# holder_of DATABASE INSTANCE...: prints the instance that holds the database.
holder_of() {
    local database=$1 id
    shift
    for id in "$@"; do
        if [[ $(admin "$id" GET /status 2>/dev/null) == *"\"holders\":[{\"database\":\"$database\""* ]]; then
            echo "$id"
            return 0
        fi
    done
    return 1
}

# fault CONTROL_PORT JSON: injects a fault into a stand-in.
fault() { curl -sf -m 5 -X POST --data-binary "$2" "http://127.0.0.1:$1/fault" >/dev/null || die "the stand-in refused the fault $2"; }

now_ms() { local t=${EPOCHREALTIME/./}; echo $((t / 1000)); }

# start_fleet: starts the store, database group orders-1 and instances a, b and c, then applies rules and issues a
# key for client account shop. Sets `holder` and `others`. GROUP_OPTIONS are passed to the database group.
start_fleet() {
    local it
    cat >"$work/schema.sql" <<'SQL'
CREATE TABLE orders (id text PRIMARY KEY, item text, state text);
SQL
    start_store
    # shellcheck disable=SC2086
    start_group orders-1 "$work/schema.sql" --slots 5 ${GROUP_OPTIONS:---lag-ms 20}
    start_instance a north-1
    start_instance b north-2
    start_instance c north-3
    for it in a b c; do
        wait_for 20 in_table "$it" || die "instance $it is not in the member table of the cell, or has no majority"
    done
    rules="database orders-1 cell=c1 members=${members_of[orders-1]} slots=5 connections=35  # Aino Laine: order database
route order database=orders-1 mode=write idempotent=no ack=replica  # Print floor: paid maps
route mark database=orders-1 mode=write idempotent=no ack=primary  # Print floor: state changes
route status database=orders-1 mode=read max-age=5s  # Web team: order page
route shelf database=orders-1 mode=read max-age=5s open=yes  # Web team: public page
limit shop rate=1000 burst=1000  # Sales: contract 12"
    apply_rules a "$rules" || die "rules refused: $result"
    issue_key a shop
    for it in a b c; do
        wait_for 20 serving "$it" || die "instance $it does not serve"
    done
    wait_for 10 holder_of orders-1 a b c || die "no instance holds the database"
    holder=$(holder_of orders-1 a b c)
    others=()
    for it in a b c; do
        [ "$it" = "$holder" ] || others+=("$it")
    done
    wait_for 10 order_succeeds "${others[0]}" first || die "the first order failed: $status $reply"
}

# in_table INSTANCE: succeeds if its member table lists all FLEET_SIZE instances (default 3) and it has contact with
# a majority of them.
in_table() { [[ $(admin "$1" GET /status | grep -o '"peer_address"' | wc -l) -eq ${FLEET_SIZE:-3} ]] && [[ $(admin "$1" GET /status) == *'"majority":true'* ]]; }

# order INSTANCE REQUEST_ID [DEADLINE_MS]: a non-idempotent write of a row whose id is the request id.
order() {
    post "$1" /v1/routes/order "$key" "{\"request_id\":\"$2\",\"deadline_ms\":${3:-8000},\"sql\":\"INSERT INTO orders (id, item, state) VALUES (\$1, \$2, \$3)\",\"parameters\":[\"$2\",\"map\",\"paid\"]}"
}
order_succeeds() { order "$1" "$2"; [ "$status" = 200 ]; }

# read_order INSTANCE ID [SESSION]: reads the row of an order, by default without a session.
read_order() {
    post "$1" /v1/routes/status "$key" "{\"deadline_ms\":${READ_DEADLINE:-3000}${3:+,\"session\":\"$3\"},\"sql\":\"SELECT id, state FROM orders WHERE id = \$1\",\"parameters\":[\"$2\"]}"
}

# group_state NAME: prints the state of the stand-in for a database group.
group_state() { curl -sf -m 5 "http://127.0.0.1:${control_of[$1]}/state"; }

# Comparison with a recorded session: `step TITLE` after a `post` appends the response to the transcript, with
# placeholders for values that differ between runs; `compare REF_FILE` compares the transcript with the reference file.
# UPDATE_REF=1 replaces the reference file first.
step() {
    {
        echo "# $1"
        echo "HTTP $status"
        sed -E -e 's/"session":"[^"]*"/"session":"<session>"/' -e 's/"transaction":"[^"]*"/"transaction":"<transaction>"/' \
            -e 's/"served_by":"[^"]*"/"served_by":"<member>"/' -e 's/"data_age_ms":[0-9]+/"data_age_ms":<age>/' \
            -e 's/"from_replica":(true|false)/"from_replica":<either>/' <<<"$reply"
        echo
    } >>"$work/transcript"
}

compare() {
    if [ -n "${UPDATE_REF:-}" ]; then
        mkdir -p "${1%/*}"
        cp "$work/transcript" "$1"
    fi
    diff -u "$1" "$work/transcript" || die "the transcript differs from $1"
    echo "ok: the transcript matches $1"
}

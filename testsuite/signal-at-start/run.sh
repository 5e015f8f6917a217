#!/usr/bin/env bash
# Guards against a process that ends because the platform announces changed settings while it starts. The settings
# are a named pipe at first, so that the process waits for them while the signals arrive.
set -euo pipefail
bin=${CITRONLUG_BIN:?set CITRONLUG_BIN to the build directory}
work=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null; rm -rf "$work"' EXIT
settings=$work/settings.json
cat >"$work/next.json" <<'EOF'
{"instance":"node-1","failure_domain":"zone-a","caller_address":"127.0.0.1:27401","ready_address":"127.0.0.1:27402",
"peer_address":"127.0.0.1:27403","metrics_address":"127.0.0.1:27404","store_address":"127.0.0.1:27405",
"promotion_address":"127.0.0.1:27406","leave_seconds":4}
EOF
cp "$work/next.json" "$work/first.json"
mkfifo "$settings"
"$bin/platform/citronlug-sessiond" --settings "$settings" >"$work/log" 2>"$work/err" &
pid=$!
exec 3>"$settings" # returns when the process reads the settings
for _ in 1 2 3; do
    kill -HUP "$pid"
    sleep 0.05
done
mv "$work/next.json" "$settings"
cat "$work/first.json" >&3
exec 3>&-
for _ in $(seq 50); do
    ! grep -q settings-reloaded "$work/log" || break
    sleep 0.1
done
grep -q process-started "$work/log" || { cat "$work/err"; echo "the process did not start"; exit 1; }
grep -q settings-reloaded "$work/log" || { echo "the settings were not read again after the signal"; exit 1; }
kill -TERM "$pid"
wait "$pid"
pid=

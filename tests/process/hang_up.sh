#!/usr/bin/env bash
# Sends hang-up signals to a running entry instance while its settings file stays, changes
# and breaks, and expects the process to live on and a line for each.
# Usage: hang_up.sh BIN PORT
set -euo pipefail
bin=$(cd "$1" && pwd)
port=$2
work=$(mktemp -d)
pid=
finish() {
  [ -z "$pid" ] || kill "$pid" 2> /dev/null || true
  rm -rf "$work"
}
trap finish EXIT
settings() {
  printf '{"instance": {"id": 1, "region": "r", "domain": "d", "caller": "127.0.0.1:%s",
    "peer": "127.0.0.1:%s", "control": [{"id": 2, "peer": "127.0.0.1:%s"}]},
    "drain": {"answer_lifetime": 100, "connection_lifetime": 100, "margin": 100},
    "log": {"format": "json"}, "callers": {"idle_limit": %s}}\n' \
    "$port" "$((port + 1))" "$((port + 2))" "$1" > "$work/entry.json"
}
await() {
  for _ in $(seq 100); do
    grep -q "$1" "$work/log" && return 0
    sleep 0.05
  done
  echo "FAILED: no line with $1 in 5 s:"
  cat "$work/log"
  return 1
}

settings 1000
"$bin/mulberryrudder-entry" --settings "$work/entry.json" > "$work/log" 2>&1 &
pid=$!
await '"entry.started"'
kill -HUP "$pid"
await '"result":"unchanged"'
settings 2000
kill -HUP "$pid"
await '"result":"changed"'
settings '"long"'
kill -HUP "$pid"
await '"result":"refused","place":".*callers/idle_limit"'
kill -TERM "$pid"
await '"process.stop_requested"'
wait "$pid"
pid=
echo "3 hang-ups told, and a planned stop"

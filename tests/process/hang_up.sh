#!/usr/bin/env bash
# Sends SIGHUP to a running entry instance with an unchanged, a changed and an invalid settings
# file. Expects the process to keep running, to log the result each time, and to stop cleanly
# on SIGTERM.
# Usage: hang_up.sh BIN PORT
set -euo pipefail
bin=$(cd "$1" && pwd)
port=$2
work=$(mktemp -d)
pid=
cleanup() {
  [ -z "$pid" ] || kill "$pid" 2> /dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
write_settings() { # IDLE_LIMIT
  printf '{"instance": {"id": 1, "region": "r", "domain": "d", "caller": "127.0.0.1:%s",
    "peer": "127.0.0.1:%s", "control": [{"id": 2, "peer": "127.0.0.1:%s"}]},
    "drain": {"answer_lifetime": 100, "connection_lifetime": 100, "margin": 100},
    "log": {"format": "json"}, "callers": {"idle_limit": %s}}\n' \
    "$port" "$((port + 1))" "$((port + 2))" "$1" > "$work/entry.json"
}
# Waits up to 5 s for a log line that matches a pattern.
wait_for_line() { # PATTERN
  for _ in $(seq 100); do
    grep -q "$1" "$work/log" && return 0
    sleep 0.05
  done
  echo "FAILED: no log line matched $1 within 5 s:"
  cat "$work/log"
  return 1
}

write_settings 1000
"$bin/mulberryrudder-entry" --settings "$work/entry.json" > "$work/log" 2>&1 &
pid=$!
wait_for_line '"entry.started"'
kill -HUP "$pid"
wait_for_line '"result":"unchanged"'
write_settings 2000
kill -HUP "$pid"
wait_for_line '"result":"changed"'
write_settings '"long"'
kill -HUP "$pid"
wait_for_line '"result":"refused","place":".*callers/idle_limit"'
kill -TERM "$pid"
wait_for_line '"process.stop_requested"'
wait "$pid"
pid=
echo "3 results of SIGHUP logged, and a clean stop on SIGTERM"

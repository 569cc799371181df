#!/usr/bin/env bash
# Measures idle instances: starts a deployment without callers and prints, for each control
# and entry instance, its processor time in per mille of a core and the wake-ups a second of
# each of its threads.
# Usage: scripts/idle.sh [SECONDS]   Exits with 1 if an instance uses 1% of a core or more.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/release/bin
seconds=${1:-10}
work=$(mktemp -d)
pids=()
trap 'for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done; rm -rf "$work"' EXIT
scripts/layout.sh trust "$work" 23000 1
for kind in control entry; do
  for file in "$work/$kind"-*.json; do
    "$bin/mulberryrudder-$kind" --settings "$file" > /dev/null 2>&1 &
    pids+=($!)
  done
done
sleep 4
cpu_ticks() { # PID
  awk '{print $14 + $15}' "/proc/$1/stat"
}
wakeups() { # TASK_FOLDER
  awk '/^voluntary_ctxt/ {print $2}' "$1/status"
}
declare -A ticks_before wakeups_before
for pid in "${pids[@]}"; do
  ticks_before[$pid]=$(cpu_ticks "$pid")
  for task in "/proc/$pid/task/"*; do wakeups_before[$task]=$(wakeups "$task"); done
done
sleep "$seconds"
max_per_mille=0
for pid in "${pids[@]}"; do
  used_ticks=$(($(cpu_ticks "$pid") - ticks_before[$pid]))
  per_mille=$((used_ticks * 10 / seconds))
  [ "$per_mille" -le "$max_per_mille" ] || max_per_mille=$per_mille
  printf '%s %s per mille of a core, wake-ups a second:' "$(cat "/proc/$pid/comm")" "$per_mille"
  for task in "/proc/$pid/task/"*; do
    printf ' %s=%s' "$(cat "$task/comm")" "$((($(wakeups "$task") - wakeups_before[$task]) / seconds))"
  done
  printf '\n'
done
echo "worst: $max_per_mille per mille of a core"
[ "$max_per_mille" -lt 10 ]

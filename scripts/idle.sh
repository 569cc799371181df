#!/usr/bin/env bash
# Shows what idle processes cost: starts one deployment, waits, and prints for each thread
# of an entry and a control instance its share of a core and its wake-ups a second.
# Usage: scripts/idle.sh [SECONDS]   Exit code 1 if an instance takes 1% of a core or more.
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
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
wakes() { awk '/^voluntary_ctxt/ {print $2}' "$1/status"; }
declare -A before_ticks before_wakes
for pid in "${pids[@]}"; do
  before_ticks[$pid]=$(ticks "$pid")
  for task in "/proc/$pid/task/"*; do before_wakes[$task]=$(wakes "$task"); done
done
sleep "$seconds"
worst=0
for pid in "${pids[@]}"; do
  used=$(($(ticks "$pid") - before_ticks[$pid]))
  per_mille=$((used * 10 / seconds))
  [ "$per_mille" -le "$worst" ] || worst=$per_mille
  printf '%s %s per mille of a core, wake-ups a second:' "$(cat "/proc/$pid/comm")" "$per_mille"
  for task in "/proc/$pid/task/"*; do
    printf ' %s=%s' "$(cat "$task/comm")" "$((($(wakes "$task") - before_wakes[$task]) / seconds))"
  done
  printf '\n'
done
echo "worst: $worst per mille of a core"
[ "$worst" -lt 10 ]

#!/usr/bin/env bash
# Measures the latency that an entry instance adds to a direct call of the target, and the
# throughput and processor time per request of one entry process.
# Usage: scripts/path_bench.sh [--json]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/release/bin
work=$(mktemp -d)
pids=()
trap 'for pid in "${pids[@]}"; do kill "$pid"; kill "$pid"; done 2> /dev/null || true; rm -rf "$work"' EXIT
start() { "$bin/$1" --settings "$work/$2.json" > "$work/$2.out" 2>&1 & pids+=($!); }
control='[{"id": 101, "peer": "127.0.0.1:28100"}]'
cat > "$work/control.json" <<END
{"instance": {"id": 101, "region": "r", "domain": "d", "peer": "127.0.0.1:28100", "control": $control},
 "operators": {"listen": "127.0.0.1:28110"}, "disk": {"folder": "$work/disk"}}
END
cat > "$work/entry.json" <<END
{"instance": {"id": 1, "region": "r", "domain": "d", "peer": "127.0.0.1:28120", "caller": "127.0.0.1:28140", "control": $control},
 "log": {"level": "error"}}
END
cat > "$work/target.json" <<END
{"fake_targets": {"entries": ["127.0.0.1:28140"], "groups": [{"name": "t", "count": 1, "first": "127.0.0.1:28150",
  "domain": "d", "version": "v1", "routes": ["bench"], "slots": 400, "service_time": 0}]}, "log": {"level": "error"}}
END
echo '{"number": 1, "add": {"routes": {"bench": {"version": "v1", "open": true, "idempotent": true}}}}' > "$work/note.json"
run_callers() { # NAME PORT PER_SECOND
  cat > "$work/$1.json" <<END
{"fake_callers": {"entries": ["127.0.0.1:$2"], "lookup": false, "duration": 4000,
  "customers": [{"route": "bench", "per_second": $3}]}}
END
  "$bin/mulberryrudder-fake-caller" --settings "$work/$1.json"
}
mkdir "$work/disk"
start mulberryrudder-control control
start mulberryrudder-entry entry
entry_pid=${pids[1]}
start mulberryrudder-fake-target target
for _ in $(seq 100); do
  "$bin/mulberryctl" -c 127.0.0.1:28110 apply "$work/note.json" > /dev/null 2>&1 && break
  sleep 0.1
done
# An entry may use all slots only after a full lease term since its first lease.
sleep 8
cpu_ticks() { awk '{print $14 + $15}' "/proc/$entry_pid/stat"; }
direct=$(run_callers direct 28150 500)
through=$(run_callers through 28140 500)
ticks_before=$(cpu_ticks)
busy_direct=$(run_callers busy_direct 28150 10000)
busy=$(run_callers busy 28140 10000)
used_ticks=$(($(cpu_ticks) - ticks_before))
jq -n --argjson direct "$direct" --argjson through "$through" --argjson busy "$busy" \
  --argjson busy_direct "$busy_direct" --argjson used_ticks "$used_ticks" '{
  path: {
    at_500_a_second: {direct_us: {p50: $direct.customers[0].p50_us, p99: $direct.customers[0].p99_us},
                      through_entry_us: {p50: $through.customers[0].p50_us, p99: $through.customers[0].p99_us},
                      added_p50_us: ($through.customers[0].p50_us - $direct.customers[0].p50_us)},
    at_10000_a_second: {direct: ($busy_direct.customers[0] | {sent, answered, p50_us, p99_us}),
                        through_entry: ($busy.customers[0] | {sent, answered, refused, p50_us, p99_us}),
                        entry_cpu_us_per_request: ($used_ticks * 10000 / $busy.customers[0].sent)}
  }}' | if [ "${1:-}" = --json ]; then jq -c .; else jq .; fi

#!/usr/bin/env bash
# Builds and runs all benchmarks: decisions, policies and the request path. Each figure is
# printed with a naive baseline from the same run. No figure makes the script fail; run it on
# an otherwise idle machine.
# Usage: scripts/bench.sh [--json]   With --json, one JSON object a line for each program.
set -euo pipefail
cd "$(dirname "$0")/.."
json=${1:-}
scripts/install.sh >&2
[ -f build/release/build.ninja ] || cmake --preset release >&2
cmake --build build/release -j "${JOBS:-10}" -- --quiet >&2
bin=$PWD/build/release/bin
print_title() { if [ "$json" != --json ]; then printf '\n== %s\n' "$*"; fi; }

print_title "look-up, against std::map"
if [ "$json" = --json ]; then "$bin/lookup_bench" --benchmark_format=json | jq -c .
else "$bin/lookup_bench" 2> /dev/null; fi
for bench in rate_bench:"wrongful refusals, against an even static split" \
             lease_bench:"control per daemon and time to be in force, slopes" \
             fair_bench:"worst-served customer, against first come first served" \
             choice_bench:"choice of targets, against round robin" \
             spill_bench:"a regional failure, against spilling without grants" \
             moves_bench:"moves, against fixed steps" \
             disk_bench:"commits on disk, against rewriting the file" \
             failover_bench:"failover of the control group"; do
  program=${bench%%:*}
  [ -x "$bin/$program" ] || continue
  print_title "${bench#*:} ($program)"
  "$bin/$program" $json
done
print_title "the path: one entry, against calling the target directly"
scripts/path_bench.sh $json

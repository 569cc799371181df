#!/usr/bin/env bash
# Measures decisions, policies and the path; each figure stands beside a naive baseline of
# the same run. No figure decides about pass or fail: read them on a quiet machine.
# Usage: scripts/bench.sh [--json]   --json prints one JSON object a line and program.
set -euo pipefail
cd "$(dirname "$0")/.."
json=${1:-}
scripts/install.sh >&2
[ -f build/release/build.ninja ] || cmake --preset release >&2
cmake --build build/release -j "${JOBS:-10}" -- --quiet >&2
bin=$PWD/build/release/bin
title() { if [ "$json" != --json ]; then printf '\n== %s\n' "$*"; fi; }

title "look-up, against std::map"
if [ "$json" = --json ]; then "$bin/lookup_bench" --benchmark_format=json | jq -c .
else "$bin/lookup_bench" 2> /dev/null; fi
for it in rate_bench:"wrongful refusals, against an even static split" \
          lease_bench:"control per daemon and time to be in force, slopes" \
          fair_bench:"worst-served customer, against first come first served" \
          choice_bench:"choice of targets, against round robin" \
          spill_bench:"a regional failure, against spilling without grants" \
          moves_bench:"moves, against fixed steps" \
          disk_bench:"commits on disk, against rewriting the file" \
          failover_bench:"failover of the control group"; do
  program=${it%%:*}
  [ -x "$bin/$program" ] || continue
  title "${it#*:} ($program)"
  "$bin/$program" $json
done
title "the path: one entry, against calling the target directly"
scripts/path_bench.sh $json

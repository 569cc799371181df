#!/usr/bin/env bash
# Installs the dependencies, builds, and runs both sample deployments on loopback: 3 control
# and 11 entry instances in 6 failure domains of 3 regions each, with fake targets and
# callers. Applies a release note, sends requests, moves one route to its next version and
# prints a report.
# Usage: scripts/demo.sh [--json]   With --json, the report is a JSON object.
# Exits with 0 if every customer got a reply, no reply was wrong or truncated, no request ran
# twice or ran although it was refused as not run, both moves finished and every process
# stopped with exit code 0.
set -euo pipefail
cd "$(dirname "$0")/.."
as_json=false
case ${1:-} in
  --json) as_json=true ;;
  '') ;;
  *) echo "usage: scripts/demo.sh [--json]" >&2; exit 2 ;;
esac

scripts/install.sh >&2
if [ ! -f build/release/build.ninja ]; then cmake --preset release >&2; fi
cmake --build build/release -j "${JOBS:-10}" -- --quiet >&2
bin=$PWD/build/release/bin
call_seconds=18
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
}
trap 'stop_all; rm -rf "$work"' EXIT

start() { # PROGRAM SETTINGS
  "$bin/$1" --settings "$2" > "$2.out" 2>&1 &
  pids+=($!)
}

operators_of() { # FIRST_PORT
  echo "127.0.0.1:$(($1 + 10)),127.0.0.1:$(($1 + 11)),127.0.0.1:$(($1 + 12))"
}

ctl() { # FIRST_PORT ARGUMENT...
  local first_port=$1
  shift
  "$bin/mulberryctl" -c "$(operators_of "$first_port")" "$@"
}

# Runs a command every 0.1 s until it succeeds; fails after TENTHS attempts.
wait_until() { # TENTHS COMMAND...
  local remaining=$1
  shift
  until "$@" > /dev/null 2>&1; do
    remaining=$((remaining - 1))
    if [ "$remaining" -le 0 ]; then echo "demo.sh: timed out waiting for: $*" >&2; return 1; fi
    sleep 0.1
  done
}

has_leader() { ctl "$1" status --json | jq -e '[.control[].may_act] | any' > /dev/null; }

# Keepers that have restarted grant claims only after their settling time.
keeper_settling_seconds=7

run_deployment() { # NAME FIRST_PORT
  local name=$1 first_port=$2 folder=$work/$1 route deadline
  route=$(cat "$folder/move-route")
  wait_until 150 has_leader "$first_port"
  ctl "$first_port" apply "$folder/note-1.json" > "$folder/apply.out"
  sleep "$keeper_settling_seconds"
  "$bin/mulberryrudder-fake-caller" --settings "$folder/callers.json" > "$folder/report.json" &
  local callers_pid=$!
  sleep 2
  deadline=$(date -u -d '+14 seconds' +%Y-%m-%dT%H:%M:%SZ)
  cat > "$folder/note-2.json" <<END
{"number": 2, "add": {"moves": {"$route": {"version": "v2", "cap": 500, "deadline": "$deadline"}}}}
END
  ctl "$first_port" apply "$folder/note-2.json" >> "$folder/apply.out"
  wait "$callers_pid"
  ctl "$first_port" explain move "$route" --json > "$folder/move.json" || echo '{"state": "unknown"}' > "$folder/move.json"
}

first_port_of() { if [ "$1" = basamak ]; then echo 21000; else echo 22000; fi; }
for name in basamak trust; do
  scripts/layout.sh "$name" "$work/$name" "$(first_port_of "$name")" "$call_seconds"
  for n in 0 1 2; do start mulberryrudder-control "$work/$name/control-$n.json"; done
  for n in 0 1 2 3 4 5 6 7 8 9 10; do start mulberryrudder-entry "$work/$name/entry-$n.json"; done
  for n in 0 1 2 3 4 5; do start mulberryrudder-fake-target "$work/$name/targets-$n.json"; done
done
run_pids=()
for name in basamak trust; do
  run_deployment "$name" "$(first_port_of "$name")" &
  run_pids+=($!)
done
failed_runs=0
for pid in "${run_pids[@]}"; do wait "$pid" || failed_runs=$((failed_runs + 1)); done

# Every process must stop on SIGTERM with exit code 0.
unclean=0
stop_all
for pid in "${pids[@]}"; do wait "$pid" || unclean=$((unclean + 1)); done
pids=()

report() { # NAME
  jq --arg name "$1" --slurpfile move "$work/$1/move.json" '{
    deployment: $name,
    customers: [.customers[] | {customer, route, sent, answered, failed, wrong, cut, unreached,
                                refused, versions, p50_us, p99_us}],
    ran_twice, ran_though_refused_as_not_run, keys_that_ran,
    move: $move[0]
  }' "$work/$1/report.json"
}
{ report basamak; report trust; } | jq -s --argjson unclean "$unclean" --argjson failed "$failed_runs" '{
  deployments: .,
  wrong_or_cut: ([.[].customers[] | .wrong + .cut] | add),
  customers_without_answer: ([.[].customers[] | select(.answered == 0)] | length),
  ran_twice: ([.[].ran_twice] | add),
  refusals_that_lied: ([.[].ran_though_refused_as_not_run] | add),
  unclean_stops: $unclean, failed_runs: $failed
}' > "$work/report.json"

if $as_json; then cat "$work/report.json"; else
  jq -r '
    (.deployments[] | "\(.deployment): route and customer, sent, answered, refused by reason, p50 and p99 in ms",
      (.customers[] | "  \(.route) \(.customer): \(.sent) \(.answered) \(.refused | tojson) \(.p50_us / 1000) \(.p99_us / 1000)"),
      "  move: \(.move.state // .move | tojson)"),
    "wrong or cut replies: \(.wrong_or_cut), ran twice: \(.ran_twice), refusals that lied: \(.refusals_that_lied), unclean stops: \(.unclean_stops)"
  ' "$work/report.json"
fi
jq -e '.wrong_or_cut == 0 and .customers_without_answer == 0 and .ran_twice == 0
       and .refusals_that_lied == 0 and .unclean_stops == 0 and .failed_runs == 0
       and ([.deployments[].move.state] | all(. == "done" or . == "watched"))' \
  "$work/report.json" > /dev/null

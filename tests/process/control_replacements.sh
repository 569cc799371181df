#!/usr/bin/env bash
# Runs the platform's daemons as real processes while the control instances that the settings name
# as seeds are replaced, one after the other: each is killed for good, and an empty one starts 0.5 s
# later at another address. The next one goes once that one has run for the time CatchUp, after
# which it does not count as lost any more. Then a region with two control instances is lost.
#
# Fails if the newest acknowledged plan cannot be read back, an order is not acknowledged in time,
# or an entry instance handles requests by an older plan.
# Usage: control_replacements.sh BIN NET   NET: first three bytes of the addresses, in 127.0.0.0/8
set -euo pipefail
bin=$1 net=$2
root=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
declare -A pid_of
failures=0
cleanup() {
  for pid in "${pid_of[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
  for pid in "${pid_of[@]}"; do wait "$pid" 2> /dev/null || true; done
  if [ "$failures" -eq 0 ]; then rm -rf "$work"; else echo "the settings and logs are kept in $work"; fi
}
trap cleanup EXIT

# Bounds of the platform, in seconds.
catch_up=4 contact=3 ack_timeout=4 config_apply=2.5
region_of() { echo "${1%-*}"; }
domains=(marmara-a ege-a upper-a marmara-b ege-b upper-b)
seeds=("$net.11:8667" "$net.12:8667" "$net.13:8667")

fail() { echo "FAILED: $*"; failures=$((failures + 1)); }
render() { # ROLE NAME IP DOMAIN FOUNDING
  local all
  all=$(printf '"%s",' "${seeds[@]}")
  sed -e 's#\[{{\#Zones}}.*{{/Zones}}\]#[]#' -e "s#{{Region}}#$(region_of "$4")#; s#{{Zone}}#$4#" \
    -e "s#{{Ip}}#$3#g; s#{{PortRange.0}}#7220#; s#{{Listen.Frontend}}#$3:8668#" \
    -e "s#{{Listen.Readiness}}#$3:8666#; s#{{Listen.Control}}#$3:8667#g" \
    -e "s#{{Listen.Directory}}#$3:8670#; s#{{Seeds|json}}#[${all%,}]#; s#{{Bootstrap|json}}#$5#" \
    -e "s#{{FaultTolerance.Machines}}#1#; s#{{DataDir}}#$work/disk-$2#" \
    "$root/deploy/$1.json" > "$work/$2.json"
  mkdir -p "$work/disk-$2"
}
start() { # ROLE NAME IP DOMAIN FOUNDING
  render "$@"
  MULBERRYRUDDER_CONFIG=$work/$2.json "$bin/mulberryrudder-platform-$1" >> "$work/$2.log" 2>&1 &
  pid_of[$2]=$!
}
crash() { # NAME   For good.
  kill -KILL "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2> /dev/null || true
  unset "pid_of[$1]"
}
plan() { # NUMBER   Each plan has the routes of all before it and one more.
  jq -nc --argjson n "$1" '{Version: "r\($n)", Tenants: [],
    Routes: [range(1; $n + 1) | {Name: "r-\(.)", Hostname: "desk.example", PathPrefix: "/p\(.)/",
      Type: "safe", Timeout: "1s", TargetLatency: "500ms", Priority: 1, Service: "desk",
      MaxAttempts: 1, Public: true, Sticky: false, AllowedRegions: []}],
    Services: [{Name: "desk", HealthPath: "/healthz", MaxConnections: 390, Protocol: "h1",
      Tls: false, Warmup: "3s", WarmupPerS: 10.0}],
    Limits: {MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms",
      IdleTimeout: "15000ms"}}'
}
# Sends a call to one control instance after the other until one answers clearly, as operators do;
# prints its answer and then the status, or 000.
call() { # SECONDS PATH CURL-OPTIONS...
  local end=$((SECONDS + $1)) path=$2 out
  shift 2
  while [ "$SECONDS" -le "$end" ]; do
    for address in "${control[@]}"; do
      out=$(curl -s -L --max-redirs 2 -m 1 -w '\n%{http_code}' "$@" "http://$address:8667$path") || continue
      case ${out##*$'\n'} in 2*|400|409|412|413|422) echo "$out"; return ;; esac
    done
    sleep 0.1
  done
  echo 000
}
newest=0
put() { # SECONDS
  local base=0 status
  [ "$newest" = 0 ] || base=r$newest
  plan $((newest + 1)) > "$work/plan.json"
  status=$(call "$1" /api/config/replace -X POST -H "Base-Version: $base" \
    -H 'Content-Type: application/json' --data-binary "@$work/plan.json" | tail -n 1)
  if [ "$status" = 200 ]; then newest=$((newest + 1)); else fail "plan r$((newest + 1)): status $status"; fi
}
# Without targets, a request on a route of the plan gets 503, and 404 by a plan without the route.
expect_plan_in_force() {
  local entry status
  for entry in "${entries[@]}"; do
    status=$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' -H 'Deadline-Ms: 500' \
      -H "Attempt-Id: $(printf '%08x%08x' $RANDOM $RANDOM)" "http://$entry:8668/p$newest/x" || true)
    [ "$status" = 503 ] || fail "entry $entry handles r$newest with status $status"
  done
}
expect_read_back() {
  local out
  out=$(call "$contact" /api/config/get)
  [ "$(head -n 1 <<< "$out" | jq -r .Version)" = "r$newest" ] || fail "r$newest is not read back: $out"
}

control=() entries=()
for n in 1 2 3 4 5 6; do
  control+=("$net.1$n") entries+=("$net.2$n")
  start control "control-$n" "$net.1$n" "${domains[n - 1]}" true
  start entry "entry-$n" "$net.2$n" "${domains[n - 1]}" true
done
put 20
sleep "$config_apply"
expect_plan_in_force

for n in 1 2 3; do
  echo "- control-$n is gone for good"
  crash "control-$n"
  sleep 0.5
  control[n - 1]=$net.3$n seeds[n - 1]=$net.3$n:8667
  start control "control-x$n" "$net.3$n" "${domains[n - 1]}" false
  begun=$SECONDS
  sleep "$catch_up"
  echo "control-x$n started $((SECONDS - begun)) s ago"
done

echo "- the seeds of the first settings are replaced"
sleep "$contact"
put "$ack_timeout"
sleep "$config_apply"
expect_plan_in_force
expect_read_back

echo "- the region marmara is lost"
for name in control-x1 control-4; do crash "$name"; done
control=("${control[@]:1:2}" "${control[@]:4}")
sleep "$contact"
put "$ack_timeout"
sleep "$config_apply"
expect_plan_in_force
expect_read_back
[ "$failures" -eq 0 ]

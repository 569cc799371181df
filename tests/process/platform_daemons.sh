# Functions of the process tests that run the platform's daemons on loopback; sourced by them.
# Expects in the caller: bin (folder of the programs), net (first three bytes of the addresses, in
# 127.0.0.0/8) and root (of the repository).

# The disks are in memory where that is possible, so that the test alone decides how long a sync
# takes: on a file system that others use, one may take longer than an order's time limit.
disks=${TMPDIR:-/tmp}
[ "$(stat -f -c %T /dev/shm 2> /dev/null)" != tmpfs ] || [ ! -w /dev/shm ] || disks=/dev/shm
work=$(mktemp -d -p "$disks")
declare -A pid_of
failures=0
cleanup() {
  for pid in "${pid_of[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
  for pid in "${pid_of[@]}"; do wait "$pid" 2> /dev/null || true; done
  if [ "$failures" -eq 0 ]; then rm -rf "$work"; else echo "the settings and logs are kept in $work"; fi
}
trap cleanup EXIT

# Bounds of the platform, in seconds.
catch_up=4 contact=3 ack_timeout=4 config_apply=2.5 recovery=15 grace_period=6
region_of() { echo "${1%-*}"; }
domains=(marmara-a ege-a upper-a marmara-b ege-b upper-b)
seeds=("$net.11:8667" "$net.12:8667" "$net.13:8667")
# Settings of the replica beside those of the deploy file, and a program that starts the daemons.
replica_settings="" control_launcher=()

fail() { echo "FAILED: $*"; failures=$((failures + 1)); }
render() { # ROLE NAME IP DOMAIN FOUNDING
  local all
  all=$(printf '"%s",' "${seeds[@]}")
  sed -e 's#\[{{\#Zones}}.*{{/Zones}}\]#[]#' -e "s#{{Region}}#$(region_of "$4")#; s#{{Zone}}#$4#" \
    -e "s#{{Ip}}#$3#g; s#{{PortRange.0}}#7220#; s#{{Listen.Frontend}}#$3:8668#" \
    -e "s#{{Listen.Readiness}}#$3:8666#; s#{{Listen.Control}}#$3:8667#g" \
    -e "s#{{Listen.Directory}}#$3:8670#; s#{{Seeds|json}}#[${all%,}]#; s#{{Bootstrap|json}}#$5#" \
    -e "s#{{FaultTolerance.Machines}}#1#; s#{{DataDir}}#$work/disk-$2#" \
    -e "s#\"replica\": {#&$replica_settings#" \
    "$root/deploy/$1.json" > "$work/$2.json"
  mkdir -p "$work/disk-$2"
}
start() { # ROLE NAME IP DOMAIN FOUNDING
  local launcher=()
  [ "$1" = entry ] || launcher=("${control_launcher[@]}")
  render "$@"
  MULBERRYRUDDER_CONFIG=$work/$2.json "${launcher[@]}" "$bin/mulberryrudder-platform-$1" \
    >> "$work/$2.log" 2>&1 &
  pid_of[$2]=$!
}
crash() { # NAME...   For good, all at once.
  local name
  for name in "$@"; do kill -KILL "${pid_of[$name]}"; done
  for name in "$@"; do
    wait "${pid_of[$name]}" 2> /dev/null || true
    unset "pid_of[$name]"
  done
}
terminate() { # NAME...   Planned stops of all at once, which must end in time.
  local name status end=$((SECONDS + grace_period))
  for name in "$@"; do kill -TERM "${pid_of[$name]}"; done
  for name in "$@"; do
    while kill -0 "${pid_of[$name]}" 2> /dev/null && [ "$SECONDS" -le "$end" ]; do sleep 0.05; done
    if kill -0 "${pid_of[$name]}" 2> /dev/null; then
      fail "$name runs on after a planned stop"
      kill -KILL "${pid_of[$name]}"
    fi
    status=0
    wait "${pid_of[$name]}" || status=$?
    [ "$status" = 0 ] || fail "$name ended with status $status after a planned stop"
    unset "pid_of[$name]"
  done
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
# Prints the status of a request on the newest plan's last route; 000 without an answer. Without
# targets it is 503, and 404 by a plan without the route.
status_at() { # ENTRY
  curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' -H 'Deadline-Ms: 500' \
    -H "Attempt-Id: $(printf '%08x%08x' $RANDOM $RANDOM)" "http://$1:8668/p$newest/x" || true
}
expect_plan_in_force() {
  local entry status
  for entry in "${entries[@]}"; do
    status=$(status_at "$entry")
    [ "$status" = 503 ] || fail "entry $entry handles r$newest with status $status"
  done
}
expect_read_back() { # SECONDS
  local out
  out=$(call "$1" /api/config/get)
  [ "$(head -n 1 <<< "$out" | jq -r .Version)" = "r$newest" ] || fail "r$newest is not read back: $out"
}
start_all() { # FOUNDING
  local n
  control=() entries=()
  for n in 1 2 3 4 5 6; do
    control+=("$net.1$n") entries+=("$net.2$n")
    start control "control-$n" "$net.1$n" "${domains[n - 1]}" "$1"
    start entry "entry-$n" "$net.2$n" "${domains[n - 1]}" "$1"
  done
}

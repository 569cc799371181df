#!/usr/bin/env bash
# Three control instances are replaced one after the other: each is gone for good, and an empty
# one comes half a second later at another address. A further one goes only once the successor of
# the one before has run for CatchUp. The second one to go is the first one's successor.
#
# Exits with 1 if the acknowledged desired state does not come when it is read back, 0 if it does,
# 2 if the case could not run. TROUBLE=0: nothing is replaced.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../deployment.sh"
record=$here/record.txt
: > "$record"
begun=$(date +%s%N)
since=$begun
note() { printf '%8.3f %s\n' "$(($(date +%s%N) / 1000000 - begun / 1000000))e-3" "$*" >> "$record"; }
# Sleeps until SECONDS after the first loss, whatever was done meanwhile.
at() { local left=$(awk "BEGIN { print $1 - ($(date +%s%N) - $since) / 1e9 }"); [ "${left:0:1}" = - ] || sleep "$left"; }
operator() { "$root/target/review/case-2" /dev/null "$@"; }
gone() { # NAME   For good: it is not started again.
  [ "${TROUBLE:-1}" = 0 ] && return
  note "SIGKILL to $1, gone for good"
  kill -KILL "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2> /dev/null || true
  unset "pid_of[$1]"
}
comes() { # NAME ADDRESS ZONE
  [ "${TROUBLE:-1}" = 0 ] && return
  note "$1 starts at $2 with an empty disk"
  render control "$1" "$2" "$3" false
  start control "$1"
}

[ -x "$root/target/review/case-2" ] || { echo "not built" >&2; exit 2; }
start_deployment 1
all=("$net.11" "$net.12" "$net.13" "$net.14" "$net.15" "$net.16")
status=$(operator put r1 r0 20 "${all[@]}")
note "desired state r1: $status"
[ "$status" = 200 ] || exit 2
grep -q '"name":"replica.leading"' "$work/control-1.log" || exit 2
sleep 1

since=$(date +%s%N)
gone control-2
at 0.5; comes control-4 "$net.14" cairo-b
# CatchUp of control-4 is over at 4.5.
at 4.75; gone control-4
at 5.25; comes control-5 "$net.15" cairo-b
# CatchUp of control-5 is over at 9.25.
at 12
status=$(operator put r2 r1 8 "${all[@]}")
note "desired state r2: $status"
[ "$status" = 200 ] || exit 2
at 14; gone control-3
at 14.5; comes control-6 "$net.16" cairo-c
# CatchUp of control-6 is over at 18.5, Recovery at 33.5.
at 34
read -r status version < <(operator get 20 "${all[@]}")
note "read back: status $status, version $version"
note "desired state r3: $(operator put r3 r2 10 "${all[@]}")"
[ "$status" = 200 ] && [ "$version" = r2 ] && exit 0
exit 1

#!/usr/bin/env bash
# Runs the platform's daemons as real processes while control instances are taken away as planned.
# Each time their successor has run for the time CatchUp before, so that they do not count as lost;
# right after it all control instances lose power, and one disk is gone. Then control instances are
# stopped and started in turn, and all at once.
#
# Guards against CONFIG: the vote of an instance that was taken away and that of a lost disk were two
# of three, so that control had no leader, and the newest plan was not read back any more.
# Usage: planned_removals.sh BIN NET   NET: first three bytes of the addresses, in 127.0.0.0/8
set -euo pipefail
bin=$1 net=$2
root=$(cd "$(dirname "$0")/../.." && pwd)
source "$root/tests/process/platform_daemons.sh"

declare -A address_of domain_of
start_control() { # NAME
  start control "$1" "${address_of[$1]}" "${domain_of[$1]}" false
}
control_names() { printf '%s\n' "${!pid_of[@]}" | grep '^control-'; }
start_successor() { # N
  address_of[control-x$1]=$net.3$1 domain_of[control-x$1]=${domains[$1 - 1]}
  seeds[$1 - 1]=$net.3$1:8667
  start_control "control-x$1"
  control+=("$net.3$1")
  sleep "$catch_up"
}
without_address() { # ADDRESS   Removes it from `control`.
  local address rest=()
  for address in "${control[@]}"; do [ "$address" = "$1" ] || rest+=("$address"); done
  control=("${rest[@]}")
}
lose_power_and_disk() { # NAME   Of all control instances, and the disk of one.
  local names
  mapfile -t names < <(control_names)
  echo "- power is lost after r$newest, and the disk of $1"
  crash "${names[@]}"
  rm -rf "$work/disk-$1"
  sleep 0.5
  for name in "${names[@]}"; do start_control "$name"; done
  local begun=$SECONDS
  expect_read_back "$recovery"
  echo "read back after $((SECONDS - begun)) s"
  sleep "$contact"
  expect_plan_in_force
  put "$ack_timeout"
  sleep "$config_apply"
  expect_plan_in_force
}

start_all true
for n in 1 2 3 4 5 6; do
  address_of[control-$n]=$net.1$n domain_of[control-$n]=${domains[n - 1]}
done
put 20
sleep "$catch_up"

echo "- control-1 has a successor and is stopped as planned"
start_successor 1
terminate control-1
without_address "$net.11"
put "$ack_timeout"
lose_power_and_disk control-2
sleep "$catch_up"

echo "- control-3 has a successor and is removed"
start_successor 3
put "$ack_timeout"
crash control-3
without_address "$net.13"
lose_power_and_disk control-4
sleep "$catch_up"

echo "- control instances are stopped and started in turn"
for name in $(control_names | sort); do
  terminate "$name"
  put "$ack_timeout"
  start_control "$name"
done
lose_power_and_disk control-5

echo "- all control instances are stopped at once"
mapfile -t names < <(control_names)
terminate "${names[@]}"
for name in "${names[@]}"; do start_control "$name"; done
expect_read_back "$recovery"
put "$ack_timeout"
[ "$failures" -eq 0 ]

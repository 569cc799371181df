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
source "$root/tests/process/platform_daemons.sh"

start_all true
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
expect_read_back "$contact"

echo "- the region marmara is lost"
crash control-x1 control-4
control=("${control[@]:1:2}" "${control[@]:4}")
sleep "$contact"
put "$ack_timeout"
sleep "$config_apply"
expect_plan_in_force
expect_read_back "$contact"
[ "$failures" -eq 0 ]

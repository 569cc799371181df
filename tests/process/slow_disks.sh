#!/usr/bin/env bash
# Runs the platform's daemons as real processes while each sync of a control instance's disk takes
# half a second. All processes are killed at once, as at a loss of power, one disk is lost, and all
# start again.
#
# Guards against CONFIG: no leader for as long as the disks are slow, so that the newest plan is not
# read back, and entries that handle requests by the older plan of a control instance's snapshot.
# Usage: slow_disks.sh BIN NET   NET: first three bytes of the addresses, in 127.0.0.0/8
set -euo pipefail
bin=$1 net=$2
root=$(cd "$(dirname "$0")/../.." && pwd)
source "$root/tests/process/platform_daemons.sh"

sync_microseconds=500000
replica_settings='"snapshot_threshold": 10, '
snapshots() { # Number of snapshots that the control instances have taken.
  for address in "${control[@]}"; do curl -s -m 2 "http://$address:9464/metrics" || true; done |
    awk '/^mulberryrudder_replica_snapshots_taken/ { n += $2 } END { print n + 0 }'
}

start_all true
put 20
taken=$(snapshots)
while [ "$(snapshots)" = "$taken" ] && [ "$newest" -lt 30 ]; do put "$ack_timeout"; done
[ "$newest" -lt 30 ] || fail "no snapshot was taken"
for _ in 1 2; do put "$ack_timeout"; done
sleep "$config_apply"
expect_plan_in_force

echo "- all processes are killed after r$newest, the disk of control-2 is lost"
crash "${!pid_of[@]}"
rm -rf "$work/disk-control-2"
sleep 0.5
# Runs as the daemon's grandchild, so that the daemon itself is the child that is killed.
control_launcher=(strace -D -f --seccomp-bpf -o /dev/null -e trace=fsync,fdatasync
  -e "inject=fsync,fdatasync:delay_exit=$sync_microseconds")
start_all false
begun=$SECONDS
(expect_read_back "$recovery"; exit "$failures") & reader=$!
while kill -0 "$reader" 2> /dev/null; do
  for entry in "${entries[@]}"; do
    [ "$(status_at "$entry")" != 404 ] || fail "entry $entry handles r$newest by an older plan"
  done
  sleep 0.2
done
if wait "$reader"; then
  echo "read back after $((SECONDS - begun)) s"
else
  failures=$((failures + 1))
fi
sleep "$config_apply"
expect_plan_in_force
put "$ack_timeout"
sleep "$config_apply"
expect_plan_in_force
expect_read_back "$contact"

kept=$(dirname "$(ls "$work"/disk-*/snapshot | head -n 1)")
echo "- all processes are killed after r$newest, all disks but $(basename "$kept") are lost: no leader"
crash "${!pid_of[@]}"
for disk in "$work"/disk-*; do [ "$disk" = "$kept" ] || rm -rf "$disk"; done
control_launcher=()
start_all false
end=$((SECONDS + recovery))
while [ "$SECONDS" -lt "$end" ]; do
  for entry in "${entries[@]}"; do
    [ "$(status_at "$entry")" != 404 ] || fail "entry $entry handles r$newest by an older plan"
  done
  sleep 0.2
done
for entry in "${entries[@]}"; do
  [ "$(status_at "$entry")" = 503 ] || fail "entry $entry does not refuse at once"
done
[ "$failures" -eq 0 ]

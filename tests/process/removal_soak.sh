#!/usr/bin/env bash
# Runs the platform's daemons as real processes while control instances are removed, and stopped and
# started, as drawn from a seed: with a successor that has run for the time CatchUp, by a planned
# stop or without a word; in turn or two at once; while plans are changed. In most rounds all control
# instances lose power some time after it, and one of them its disk. Entry instances run on, and
# callers keep using the connections that they have to them.
#
# Fails if the newest acknowledged plan is not read back in time, an entry answers 404 on a route
# that was acknowledged longer than config_apply before although it is in touch, or on one that all
# plans have; if an order is not acknowledged, or a planned stop takes longer than grace.
# Guards against CONFIG: votes of removed instances that are lost together with that of a disk.
# Usage: removal_soak.sh BIN NET SEED ROUNDS   NET: first three bytes of the addresses, in 127.0.0.0/8
set -euo pipefail
bin=$1 net=$2 seed=$3 rounds=$4
root=$(cd "$(dirname "$0")/../.." && pwd)
source "$root/tests/process/platform_daemons.sh"
source "$root/tests/process/random_draws.sh"

begin=${EPOCHREALTIME/[.,]/}
step() { printf '%8.3f  %s\n' "$(((${EPOCHREALTIME/[.,]/} - begin) / 1000))e-3" "$*"; }
pause_for() { sleep "$(($1 / 1000)).$(printf '%03d' $(($1 % 1000)))"; }

declare -A address_of domain_of
next_address=31
control_names() { printf '%s\n' "${!pid_of[@]}" | grep '^control-' | sort; }
update_addresses() {
  local name
  control=()
  for name in $(control_names); do control+=("${address_of[$name]}"); done
}
start_control() { # NAME
  start control "$1" "${address_of[$1]}" "${domain_of[$1]}" false
  update_addresses
}
await_start() { # NAME   Until its program has taken the signals over.
  local end=$((SECONDS + contact))
  until grep -q '"name":"control.started"' "$work/$1.log"; do
    [ "$SECONDS" -le "$end" ] || { fail "$1 does not start"; return; }
    sleep 0.05
  done
}
terminate_and_update() { # NAME...
  terminate "$@"
  update_addresses
}
# Sends requests on the first plan's route over one connection for as long as it is open.
keep_calling() { # ENTRY
  local urls
  mapfile -t urls < <(for _ in {1..200}; do echo "http://$1:8668/p1/x"; done)
  while true; do
    curl -s -m 60 --rate 10/s -o /dev/null -w '%{http_code}\n' -H 'Host: desk.example' \
      -H 'Deadline-Ms: 500' -H "Attempt-Id: $(printf '%08x%08x' $RANDOM $RANDOM)" "${urls[@]}" \
      2> /dev/null | grep -n -m 1 '^404' | sed "s/^.*/entry $1 lacks the first plan's route/" \
      >> "$work/broken" || true
    sleep 0.1
  done
}

lose_power() { # DISK   Of all control instances, and the disk of one of them unless it is `none`.
  local names name
  mapfile -t names < <(control_names)
  step "power is lost after r$newest, disk lost: $1"
  crash "${names[@]}"
  [ "$1" = none ] || rm -rf "$work/disk-$1"
  draw_of 100 500 1500; pause_for "$drawn"
  shuffle "${names[@]}"
  for name in "${shuffled[@]}"; do start_control "$name"; done
  local back=${EPOCHREALTIME/[.,]/}
  expect_read_back "$recovery"
  step "read back $(((${EPOCHREALTIME/[.,]/} - back) / 1000)) ms after all are back"
  pause_for $((2 * contact * 1000))
  expect_plan_in_force
}

play_round() { # NUMBER
  local name gone successor how plans wait_before loses disk n turns
  mapfile -t names < <(control_names)
  shuffle "${names[@]}"
  local order=("${shuffled[@]}")
  gone=${order[0]}
  draw_of stop kill turns pair; how=$drawn
  draw 4; plans=$((drawn + 1))
  draw_of 0 0 100 500 1500; wait_before=$drawn
  draw 4; loses=$drawn
  disk=${order[1]}
  [ "$loses" != 1 ] || disk=none
  draw 3; turns=$((drawn + 1))

  step "round $1: $how, $gone"
  case $how in
    stop | kill)
      successor=control-$next_address
      address_of[$successor]=$net.$next_address domain_of[$successor]=${domain_of[$gone]}
      next_address=$((next_address + 1))
      for ((n = 0; n < ${#seeds[@]}; n++)); do
        [ "${seeds[n]}" != "${address_of[$gone]}:8667" ] || seeds[n]=${address_of[$successor]}:8667
      done
      start_control "$successor"
      sleep "$catch_up"
      put "$ack_timeout"
      if [ "$how" = stop ]; then terminate_and_update "$gone"; else crash "$gone"; fi
      update_addresses
      ;;
    turns)
      for ((n = 0; n < turns; n++)); do
        await_start "${order[n]}"
        terminate_and_update "${order[n]}"
        put "$ack_timeout"
        start_control "${order[n]}"
        draw_of 0 100 500; pause_for "$drawn"
      done
      ;;
    pair)
      terminate_and_update "${order[0]}" "${order[2]}"
      put "$ack_timeout"
      start_control "${order[0]}"
      start_control "${order[2]}"
      sleep "$contact"
      ;;
  esac
  for ((n = 0; n < plans; n++)); do put "$ack_timeout"; done
  pause_for "$wait_before"
  [ "$loses" = 0 ] || lose_power "$disk"
  # The next disk counts as a loss of its own.
  sleep "$catch_up"
  put "$ack_timeout"
  sleep "$config_apply"
  expect_plan_in_force
  for name in "${!pid_of[@]}"; do
    kill -0 "${pid_of[$name]}" 2> /dev/null || fail "$name ended by itself"
  done
  while read -r line; do fail "$line"; done < "$work/broken"
  : > "$work/broken"
}

echo "seed $seed, $rounds rounds, $work"
: > "$work/broken"
start_all true
for n in 1 2 3 4 5 6; do
  address_of[control-$n]=$net.1$n domain_of[control-$n]=${domains[n - 1]}
done
put 20
sleep "$catch_up"
for entry in "${entries[@]}"; do
  keep_calling "$entry" &
  pid_of[caller-$entry]=$!
done
for ((round = 1; round <= rounds && failures == 0; round++)); do play_round "$round"; done
if [ "$failures" -eq 0 ]; then echo "passed: seed $seed"; else echo "failed: seed $seed"; fi
[ "$failures" -eq 0 ]

#!/usr/bin/env bash
# Runs the platform's daemons as real processes through losses that are drawn from a seed: plans in
# series right before a loss or some time before it, a disk that is gone afterwards, syncs that take
# longer from then on, pauses and planned stops. Some losses overlap.
#
# A process that is killed leaves its writes in the page cache, so what it did not sync is there
# again at its next start. A loss of power drops such writes; the replica's tests on virtual time
# cover that.
#
# Fails if the newest acknowledged plan is not read back in time or an older one is, an entry answers
# 404 on a route that was acknowledged longer than config_apply before although it is in touch, an
# order is not acknowledged, an entry is not ready in time, or a process ends by itself.
# Guards against CONFIG: no leader for as long as the disks are slow after a loss of all processes.
# Usage: power_loss_soak.sh BIN NET SEED ROUNDS   NET: first three bytes of the addresses, in 127.0.0.0/8
set -euo pipefail
bin=$1 net=$2 seed=$3 rounds=$4
root=$(cd "$(dirname "$0")/../.." && pwd)
source "$root/tests/process/platform_daemons.sh"

grace=6000 # Milliseconds from a planned stop to the end of the process.
voters_wanted=5
source "$root/tests/process/random_draws.sh"
tell_time() { # Sets `now`, in milliseconds.
  now=${EPOCHREALTIME/[.,]/}
  now=${now%???}
}
begin=${EPOCHREALTIME/[.,]/}
step() { printf '%8.3f  %s\n' "$(((${EPOCHREALTIME/[.,]/} - begin) / 1000))e-3" "$*"; }
pause_for() { sleep "$(($1 / 1000)).$(printf '%03d' $(($1 % 1000)))"; }
milliseconds() { awk -v s="$1" 'BEGIN { print int(s * 1000) }'; }
apply_limit=$(milliseconds "$config_apply")

# From which moment on a group of instances counts as in touch: `control`, or the name of an entry.
never=9999999999999
in_touch_from() { # GROUP MILLISECONDS
  echo "$2" > "$work/touch.new"
  mv "$work/touch.new" "$work/touch-$1"
}
in_touch_after() { # GROUP SECONDS
  tell_time
  in_touch_from "$1" $((now + $2 * 1000))
}
put_and_note() {
  local before=$newest
  put "$ack_timeout"
  tell_time
  [ "$newest" = "$before" ] || echo "$newest $now" >> "$work/acks"
}
# Asks entries for the newest plan's last route and control instances for the plan, until it is killed.
watch_answers() {
  local n sent status version touch_control touch_entry
  while true; do
    for n in 1 2 3 4 5 6; do
      tell_time
      sent=$now
      newest=$(awk -v limit=$((sent - apply_limit)) '$2 < limit { n = $1 } END { print n + 0 }' "$work/acks")
      [ "$newest" -gt 0 ] || continue
      status=$(status_at "$net.2$n")
      touch_control=$(< "$work/touch-control") touch_entry=$(< "$work/touch-entry-$n")
      if [ "$status" = 404 ]; then
        if [ "$sent" -ge "$touch_control" ] && [ "$sent" -ge "$touch_entry" ]; then
          echo "entry-$n answers r$newest with 404, $(date -u +%T.%3N)" >> "$work/broken"
        else
          echo "entry-$n r$newest" >> "$work/old_out_of_touch"
        fi
      fi
      version=$(curl -s -m 1 "http://$net.1$n:8667/api/config/get" | jq -r '.Version // empty' 2> /dev/null || true)
      if [[ $version == r* ]] && [ "${version#r}" -lt "$newest" ]; then
        echo "control-$n reads $version back, r$newest was acknowledged, $(date -u +%T.%3N)" >> "$work/broken"
      fi
    done
    sleep 0.1
  done
}

declare -A delay_of run_begins stopped
start_one() { # NAME   With the delay of syncs in delay_of.
  local n=${1##*-} kind=${1%-*} third=1
  control_launcher=()
  if [ "$kind" = entry ]; then
    third=2
  elif [ "${delay_of[$1]:-0}" != 0 ]; then
    # Runs as the daemon's grandchild, so that the daemon itself is the child that is killed.
    control_launcher=(strace -D -f --seccomp-bpf -o /dev/null -e trace=fsync,fdatasync
      -e "inject=fsync,fdatasync:delay_exit=${delay_of[$1]}000")
  fi
  run_begins[$1]=$(stat -c %s "$work/$1.log" 2> /dev/null || echo 0)
  start "$kind" "$1" "$net.$third$n" "${domains[n - 1]}" false
}
events_of_run() { # NAME EVENT   Prints the records of the newest run.
  tail -c "+$((${run_begins[$1]:-0} + 1))" "$work/$1.log" | grep "\"name\":\"$2\"" || true
}
# Sets `changes` and `voters` by the control instance that knows most changes of the membership.
count_voters() {
  local n records count
  changes=0 voters=0
  for n in 1 2 3 4 5 6; do
    records=$(events_of_run "control-$n" replica.membership_changed)
    count=$(grep -c . <<< "$records" || true)
    [ "$count" -gt "$changes" ] || continue
    changes=$count
    voters=$(tail -n 1 <<< "$records" | jq -r .voters)
  done
}
expect_running() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -0 "${pid_of[$name]}" 2> /dev/null && continue
    local status=0
    wait "${pid_of[$name]}" || status=$?
    fail "$name ended by itself with status $status"
    unset "pid_of[$name]"
  done
}
note_disturbance() { # NAME...
  local name lost=0
  for name in "$@"; do
    case $name in
      control-*) lost=$((lost + 1)) ;;
      entry-*) in_touch_from "$name" "$never" ;;
    esac
  done
  [ "$lost" -eq 0 ] || in_touch_from control "$never"
}
lose() { # SPREAD NAME...   Within the milliseconds of SPREAD.
  local spread=$1 name
  shift
  expect_running
  note_disturbance "$@"
  if [ "$spread" = 0 ]; then
    crash "$@"
  else
    for name in "$@"; do
      crash "$name"
      pause_for $((spread / $#))
    done
  fi
}
draw_loss() { # Sets `kind` and `losing`.
  draw_of everything control majority region one
  kind=$drawn
  case $kind in
    everything) shuffle control-{1..6} entry-{1..6}; losing=("${shuffled[@]}") ;;
    control) shuffle control-{1..6}; losing=("${shuffled[@]}") ;;
    majority) shuffle control-{1..6}; losing=("${shuffled[@]:0:4}") ;;
    region) draw 3; losing=("control-$((drawn + 1))" "control-$((drawn + 4))") ;;
    one) draw 6; losing=("control-$((drawn + 1))") ;;
  esac
}
# Keeps of `losing` what still runs.
without_the_lost() {
  local name running=()
  for name in "${losing[@]}"; do [ -z "${pid_of[$name]:-}" ] || running+=("$name"); done
  losing=("${running[@]}")
}
stop_as_planned() { # NAME   Once its run has begun: before, no program has taken the signal over.
  local deadline status=0
  until [ -n "$(events_of_run "$1" "${1%-*}.started")" ]; do
    expect_running
    [ "$failures" -eq 0 ] || return 0
    sleep 0.05
  done
  tell_time
  deadline=$((now + grace))
  note_disturbance "$1"
  kill -TERM "${pid_of[$1]}"
  while kill -0 "${pid_of[$1]}" 2> /dev/null && [ "$now" -lt "$deadline" ]; do
    sleep 0.05
    tell_time
  done
  if kill -0 "${pid_of[$1]}" 2> /dev/null; then
    fail "$1 runs on after a planned stop of $grace ms"
    crash "$1"
    return
  fi
  wait "${pid_of[$1]}" || status=$?
  [ "$status" = 0 ] || fail "$1 ended with status $status after a planned stop"
  unset "pid_of[$1]"
}
expect_ready() { # DEADLINE
  local n
  for n in 1 2 3 4 5 6; do
    until [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$net.2$n:8666/api/readyz" || true)" = 200 ]; do
      tell_time
      if [ "$now" -gt "$1" ]; then fail "entry-$n is not ready"; break; fi
      sleep 0.1
    done
  done
}

# Tells a slow disk of the machine from a fault: the longest syncs, the delays of which are known.
print_slowest_syncs() {
  local name
  for name in control-{1..6}; do
    # The last line of a killed process may be cut off.
    jq -Rr 'fromjson? | select(.name == "disk.slow_sync") | "\(.took_ms) \(.time)"' "$work/$name.log" |
      sort -n | tail -n 1 | sed "s/^/slowest sync in ms of $name, last delayed by ${delay_of[$name]:-0}: /" || true
  done
}

disk_is_owed="" changes_before=0
play_round() { # NUMBER
  local plans gap wait_before spread disk down delay n name names back lost_control=0
  local second="" second_wait paused="" pause_wait pause_time planned="" order=()
  # All draws come before the first step, so that they do not depend on its outcome.
  draw 5; plans=$((drawn + 1))
  draw_of 0 100 400; gap=$drawn
  draw_of 0 0 0 700 3000; wait_before=$drawn
  draw_loss
  local first_kind=$kind first=("${losing[@]}")
  draw_of 0 0 500; spread=$drawn
  draw 2; disk=$drawn
  local candidates=()
  for name in "${first[@]}"; do [[ $name != control-* ]] || candidates+=("$name"); done
  draw_of "${candidates[@]}"; local disk_candidate=$drawn
  draw_of 100 500 1500 4000; down=$drawn
  draw 3; [ "$drawn" != 0 ] || second=yes
  draw_loss
  local second_kind=$kind second_losing=("${losing[@]}")
  draw_of 100 400 1200; second_wait=$drawn
  draw_of 0 0 50 200 500 800; delay=$drawn
  draw 3; local mixed=$drawn delays=()
  for n in 1 2 3 4 5 6; do draw_of 0 50 200 500 800; delays+=("$drawn"); done
  draw 2; [ "$drawn" != 0 ] || { draw_of control-{1..6} entry-{1..6}; paused=$drawn; }
  draw 1000; pause_wait=$drawn
  draw 2501; pause_time=$((drawn + 500))
  draw 3; [ "$drawn" != 0 ] || { draw_of control-{1..6} entry-{1..6}; planned=$drawn; }
  shuffle control-{1..6} entry-{1..6}; order=("${shuffled[@]}")

  step "round $1: $plans plans, $gap ms apart, $wait_before ms before the loss"
  for ((n = 0; n < plans; n++)); do
    put_and_note
    # It is not known whether a plan without an answer is in force.
    [ "$failures" -eq 0 ] || return 0
    pause_for "$gap"
  done
  pause_for "$wait_before"

  step "r$newest is acknowledged; loss: $first_kind (${first[*]}) within $spread ms"
  lost_control=${#candidates[@]}
  local was_voter="" gone=""
  if [ "$disk" = 1 ] && [ -z "$disk_is_owed" ]; then
    gone=$disk_candidate
  fi
  if [ -n "$gone" ]; then
    count_voters
    [ "$voters" = "$voters_wanted" ] || gone=""
  fi
  if [ -n "$gone" ]; then
    was_voter=$(events_of_run "$gone" replica.voting)
    changes_before=$changes
  fi
  lose "$spread" "${first[@]}"
  if [ -n "$gone" ]; then
    step "the disk of $gone is lost${was_voter:+, a voter}"
    rm -rf "$work/disk-$gone"
    if [ -n "$was_voter" ]; then disk_is_owed=$gone; fi
  fi
  if [ -n "$second" ]; then
    pause_for "$second_wait"
    losing=("${second_losing[@]}")
    without_the_lost
    if [ "${#losing[@]}" -gt 0 ]; then
      step "overlapping loss: $second_kind (${losing[*]})"
      for name in "${losing[@]}"; do [[ $name != control-* ]] || lost_control=$((lost_control + 1)); done
      lose 0 "${losing[@]}"
    fi
  fi
  # Those that remain are in touch again once the loss of a minority is over for the time of Contact.
  if [ "$lost_control" -gt 0 ] && [ "$lost_control" -lt 3 ]; then in_touch_after control "$contact"; fi
  pause_for "$down"

  names=()
  [ "$lost_control" = 0 ] || in_touch_from control "$never"
  for name in "${order[@]}"; do
    [ -z "${pid_of[$name]:-}" ] || continue
    n=${name##*-}
    if [[ $name == control-* ]]; then
      delay_of[$name]=$delay
      [ "$mixed" != 0 ] || delay_of[$name]=${delays[n - 1]}
      names+=("$name(${delay_of[$name]} ms)")
    else
      names+=("$name")
    fi
    start_one "$name"
  done
  step "start with syncs delayed: ${names[*]}"

  if [ -n "$paused" ]; then
    pause_for "$pause_wait"
    step "$paused is paused for $pause_time ms"
    expect_running
    note_disturbance "$paused"
    kill -STOP "${pid_of[$paused]}"
    pause_for "$pause_time"
    kill -CONT "${pid_of[$paused]}"
  fi
  if [ -n "$planned" ]; then
    step "planned stop of $planned"
    expect_running
    stop_as_planned "$planned"
    sleep 0.5
    start_one "$planned"
  fi

  tell_time
  back=$now
  local calm_after=$contact
  [ "$lost_control" -lt 3 ] || calm_after=$((2 * contact))
  in_touch_after control "$calm_after"
  for n in 1 2 3 4 5 6; do in_touch_after "entry-$n" "$contact"; done
  step "all are back"
  expect_read_back "$recovery"
  tell_time
  [ $((now - back)) -le $((recovery * 1000)) ] || fail "r$newest is read back after $((now - back)) ms"
  step "r$newest: asked for until $((now - back)) ms after all are back"
  expect_ready $((back + recovery * 1000))
  tell_time
  step "entries: asked until $((now - back)) ms after all are back"
  while tell_time; [ "$now" -lt $((back + calm_after * 1000)) ]; do sleep 0.05; done
  put_and_note
  sleep "$config_apply"
  expect_plan_in_force
  expect_running
  while [ -n "$disk_is_owed" ] && tell_time && [ "$now" -lt $((back + recovery * 1000)) ]; do
    count_voters
    if [ "$voters" = "$voters_wanted" ] && [ "$changes" -ge $((changes_before + 2)) ]; then
      disk_is_owed=""
      step "the group has its $voters_wanted voters again"
      sleep "$catch_up"
    else
      sleep 0.2
    fi
  done
  [ -z "$disk_is_owed" ] || step "$disk_is_owed: no other disk is lost before the group has $voters_wanted voters"
  if [ -s "$work/broken" ]; then
    while read -r line; do fail "$line"; done < "$work/broken"
    : > "$work/broken"
  fi
}

echo "seed $seed, $rounds rounds, $work"
: > "$work/acks"
: > "$work/broken"
: > "$work/old_out_of_touch"
in_touch_from control "$never"
for n in 1 2 3 4 5 6; do in_touch_from "entry-$n" "$never"; done
start_all true
put 20
expect_read_back "$contact"
sleep "$catch_up"
in_touch_after control 0
for n in 1 2 3 4 5 6; do in_touch_after "entry-$n" 0; done
watch_answers &
watcher=$!
pid_of[watcher]=$watcher
for ((round = 1; round <= rounds && failures == 0; round++)); do play_round "$round"; done
step "answers with 404 by entries that were not in touch: $(wc -l < "$work/old_out_of_touch")"
print_slowest_syncs
if [ "$failures" -eq 0 ]; then echo "passed: seed $seed"; else echo "failed: seed $seed"; fi
[ "$failures" -eq 0 ]

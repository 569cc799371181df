# Sourced by the run.sh of a case. Starts a small deployment of the project's own programs on
# loopback addresses, with the commands and the settings templates of the deploy file, and ends
# what it started.
#
# Sets: root, work (a temporary folder), net (the first three bytes of all addresses).

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
work=$(mktemp -d)
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
frontend_port=8668 readiness_port=8666 control_port=8667 directory_port=8670 peer_port=7220
declare -A pid_of=()

end_all() {
  local pid
  for pid in "${pid_of[@]}"; do kill -CONT "$pid" 2> /dev/null || true; kill -KILL "$pid" 2> /dev/null || true; done
  for pid in "${pid_of[@]}"; do wait "$pid" 2> /dev/null || true; done
  if [ -n "${KEEP:-}" ]; then echo "kept: $work"; else rm -rf "$work"; fi
}
trap end_all EXIT

# Prints the command of a role of the deploy file.
command_of() { # ROLE
  sed -n "/^\[roles\.$1\]/,/^\[/s/^run = \"\(.*\)\"/\1/p" "$root/deploy/system.toml"
}

# Writes the settings of a machine: the role's template with the fields of the platform.
render() { # ROLE NAME IP ZONE BOOTSTRAP
  local seeds="[\"$net.11:$control_port\",\"$net.12:$control_port\",\"$net.13:$control_port\"]"
  local zones='[{"domain":"cairo-a","region":"cairo"},{"domain":"cairo-b","region":"cairo"},{"domain":"cairo-c","region":"cairo"}]'
  sed -e "s#\[{{\#Zones}}.*{{/Zones}}\]#$zones#" \
    -e "s#{{Region}}#cairo#g; s#{{Zone}}#$4#g; s#{{Ip}}#$3#g; s#{{PortRange.0}}#$peer_port#g" \
    -e "s#{{Listen.Frontend}}#$3:$frontend_port#g; s#{{Listen.Readiness}}#$3:$readiness_port#g" \
    -e "s#{{Listen.Control}}#$3:$control_port#g; s#{{Listen.Directory}}#$3:$directory_port#g" \
    -e "s#{{Seeds|json}}#$seeds#g; s#{{Bootstrap|json}}#$5#g; s#{{FaultTolerance.Machines}}#1#g" \
    -e "s#{{DataDir}}#$work/data-$2#g" \
    "$root/deploy/$1.json" > "$work/$2.json"
  if grep -q '{{' "$work/$2.json"; then echo "deploy/$1.json holds an unknown field" >&2; exit 2; fi
}

start() { # ROLE NAME
  local command
  command=$(command_of "$1")
  if [ ! -x "$root/${command%% *}" ]; then echo "not built: $command" >&2; exit 2; fi
  (cd "$root" && MULBERRYRUDDER_CONFIG=$work/$2.json exec $command) >> "$work/$2.log" 2>&1 &
  pid_of[$2]=$!
}

# Three control instances and ENTRIES entry instances, in turn in the zones a, b and c.
start_deployment() { # ENTRIES
  local n zones=(cairo-a cairo-b cairo-c)
  for n in 1 2 3; do render control "control-$n" "$net.1$n" "${zones[n - 1]}" true; done
  for n in $(seq 1 "$1"); do render entry "entry-$n" "$net.2$n" "${zones[(n - 1) % 3]}" true; done
  for n in 1 2 3; do start control "control-$n"; done
  for n in $(seq 1 "$1"); do start entry "entry-$n"; done
}

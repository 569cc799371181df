#!/usr/bin/env bash
# Writes the settings, the first release note and the file move-route of one deployment on
# loopback: 3 control and 11 entry instances with fake targets and fake callers.
# Usage: scripts/layout.sh basamak|trust FOLDER FIRST_PORT SECONDS_OF_CALLS
set -euo pipefail
deployment=$1 folder=$2 first_port=$3 seconds=$4
mkdir -p "$folder"

case $deployment in
  basamak)
    regions=(marmara ic-anadolu ege)
    routes='{"timing": {"version": "v1", "idempotent": true},
             "entries": {"version": "v1"},
             "rankings": {"version": "v1", "open": true, "idempotent": true},
             "archive": {"version": "v1"}}'
    large_routes='["timing", "entries", "rankings"]' small_routes='["archive"]'
    customers=(runners relays marshals bibs payments federations sponsors archives)
    open_route=rankings at_most_once_route=entries read_route=timing move_route=timing
    ;;
  trust)
    regions=(cairo delta upper)
    routes='{"formulas": {"version": "v1", "open": true, "idempotent": true},
             "costing": {"version": "v1", "idempotent": true},
             "quotes": {"version": "v1"},
             "sheets": {"version": "v1", "idempotent": true}}'
    large_routes='["formulas", "costing", "quotes"]' small_routes='["sheets"]'
    customers=(aswan assiut fayoum inspectors workshops cooperatives ministry buyers)
    open_route=formulas at_most_once_route=quotes read_route=costing move_route=costing
    ;;
  *) echo "layout.sh: unknown deployment \"$deployment\": expected basamak or trust" >&2; exit 2 ;;
esac

domains=()
for region in "${regions[@]}"; do domains+=("$region-a" "$region-b"); done
control='[' operators='['
for n in 0 1 2; do
  control+="{\"id\": $((101 + n)), \"peer\": \"127.0.0.1:$((first_port + n))\"},"
  operators+="{\"id\": $((101 + n)), \"listen\": \"127.0.0.1:$((first_port + 10 + n))\"},"
done
control="${control%,}]" operators="${operators%,}]"

# Control instances: one in the first failure domain of each region.
for n in 0 1 2; do
  cat > "$folder/control-$n.json" <<END
{
  "instance": {"id": $((101 + n)), "region": "${regions[n]}", "domain": "${regions[n]}-a",
               "peer": "127.0.0.1:$((first_port + n))", "control": $control},
  "operators": {"listen": "127.0.0.1:$((first_port + 10 + n))", "control": $operators},
  "disk": {"folder": "$folder/disk-$n"},
  "moves": {"first_share": 20, "least_dwell": 500, "most_dwell": 5000, "warm_up": 300,
            "least_outcomes": 20, "watch": 2000},
  "log": {"file": "$folder/control-$n.log"}
}
END
  mkdir -p "$folder/disk-$n"
done

# Entry instances: two in each failure domain, except one in the last.
for n in 0 1 2 3 4 5 6 7 8 9 10; do
  domain=${domains[n / 2]}
  cat > "$folder/entry-$n.json" <<END
{
  "instance": {"id": $((1 + n)), "region": "${domain%-?}", "domain": "$domain",
               "peer": "127.0.0.1:$((first_port + 20 + n))",
               "caller": "127.0.0.1:$((first_port + 40 + n))", "control": $control},
  "drain": {"answer_lifetime": 300, "connection_lifetime": 500, "margin": 500},
  "lookup": {"time_to_live": 300},
  "claims": {"clock_skew": 200},
  "callers": {"connection_lifetime": 500},
  "log": {"file": "$folder/entry-$n.log"}
}
END
done

# Targets of each failure domain: of version v1 and, for the moved route, also of v2.
for d in 0 1 2 3 4 5; do
  entries="\"127.0.0.1:$((first_port + 40 + 2 * d))\""
  [ "$d" -eq 5 ] || entries+=", \"127.0.0.1:$((first_port + 41 + 2 * d))\""
  group_port=$((first_port + 100 + 20 * d))
  cat > "$folder/targets-$d.json" <<END
{
  "fake_targets": {
    "entries": [$entries],
    "groups": [
      {"name": "large-${domains[d]}", "count": 3, "first": "127.0.0.1:$group_port", "domain": "${domains[d]}",
       "version": "v1", "routes": $large_routes, "slots": 8, "service_time": 5},
      {"name": "small-${domains[d]}", "count": 2, "first": "127.0.0.1:$((group_port + 5))", "domain": "${domains[d]}",
       "version": "v1", "routes": $small_routes, "slots": 6, "service_time": 8},
      {"name": "next-${domains[d]}", "count": 2, "first": "127.0.0.1:$((group_port + 10))", "domain": "${domains[d]}",
       "version": "v2", "routes": ["$move_route"], "slots": 8, "service_time": 5}
    ]
  },
  "log": {"file": "$folder/targets-$d.log"}
}
END
done

# The first release note and the callers. Each run generates new random keys.
note_customers='' callers='' target_addresses=''
for d in 0 1 2 3 4 5; do
  for t in 0 1 2; do target_addresses+="\"127.0.0.1:$((first_port + 100 + 20 * d + t))\","; done
done
entry_addresses=''
for n in 0 1 2 3 4 5 6 7 8 9 10; do entry_addresses+="\"127.0.0.1:$((first_port + 40 + n))\","; done
for c in 0 1 2 3 4 5 6 7; do
  customer=${customers[c]}
  key=$(head -c 18 /dev/urandom | base64 | tr '+/' '-_')
  hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
  note_customers+="\"$customer\": {\"rate\": 100, \"burst\": 50, \"home\": \"${regions[c % 3]}\", \"keys\": [\"sha256:$hash\"]},"
  callers+="{\"customer\": \"$customer\", \"key\": \"$key\", \"route\": \"$read_route\", \"per_second\": 30},"
  callers+="{\"customer\": \"$customer\", \"key\": \"$key\", \"route\": \"$at_most_once_route\", \"method\": \"POST\", \"once\": true, \"per_second\": 10},"
done
callers+="{\"route\": \"$open_route\", \"per_second\": 30}"
cat > "$folder/note-1.json" <<END
{
  // The first release note: all customers with their keys, rates and routes.
  "number": 1,
  "add": {"customers": {${note_customers%,}}, "routes": $routes}
}
END
cat > "$folder/callers.json" <<END
{
  "fake_callers": {"entries": [${entry_addresses%,}], "targets": [${target_addresses%,}], "customers": [$callers],
                   "duration": $((seconds * 1000))},
  "log": {"file": "$folder/callers.log"}
}
END
echo "$move_route" > "$folder/move-route"

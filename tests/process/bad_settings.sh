#!/usr/bin/env bash
# Gives each program a bad value in every section it has, and expects exit code 2, an error
# that names the place, and no process.
# Usage: bad_settings.sh BIN
set -euo pipefail
bin=$(cd "$1" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0
tried=0
for program in mulberryrudder-entry mulberryrudder-control; do
  sections=$("$bin/$program" --list-settings | sed -E 's#^\| /([a-z_]+)/.*#\1#' | sort -u)
  for section in $sections; do
    for bad in '{"no_such_key": 1}' '"not an object"'; do
      printf '{"%s": %s}\n' "$section" "$bad" > "$work/bad.json"
      tried=$((tried + 1))
      code=0
      timeout 5 "$bin/$program" --settings "$work/bad.json" 2> "$work/err" || code=$?
      if [ "$code" -ne 2 ] || ! grep -q "bad.json#/$section" "$work/err"; then
        echo "FAILED: $program, /$section = $bad: expected exit code 2 and the place, actual $code: $(cat "$work/err")"
        failures=$((failures + 1))
      fi
    done
  done
done
echo "$tried bad settings tried, $failures not refused as they should be"
[ "$failures" -eq 0 ] && [ "$tried" -gt 20 ]

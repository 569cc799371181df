#!/usr/bin/env bash
# Starts the entry and control programs with an invalid value in each settings section.
# Expects each program to exit with code 2 within 5 s and to name the section in its error.
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
    for value in '{"no_such_key": 1}' '"not an object"'; do
      printf '{"%s": %s}\n' "$section" "$value" > "$work/bad.json"
      tried=$((tried + 1))
      code=0
      timeout 5 "$bin/$program" --settings "$work/bad.json" 2> "$work/err" || code=$?
      if [ "$code" -ne 2 ] || ! grep -q "bad.json#/$section" "$work/err"; then
        echo "FAILED: $program, /$section = $value: expected exit code 2 and an error at /$section, actual exit code $code: $(cat "$work/err")"
        failures=$((failures + 1))
      fi
    done
  done
done
echo "$tried invalid settings files, $failures not rejected as expected"
[ "$failures" -eq 0 ] && [ "$tried" -gt 20 ]

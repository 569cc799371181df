#!/usr/bin/env bash
# Prints the catalogue page of events and counters, or of settings, as the programs list them.
# Usage: scripts/catalogue.sh BIN events > docs/EVENTS.md
#        scripts/catalogue.sh BIN settings > docs/SETTINGS.md
set -euo pipefail
bin=$1
programs=(mulberryrudder-entry mulberryrudder-control
          mulberryrudder-platform-entry mulberryrudder-platform-control)
# Runs every program with one option and prints the distinct lines.
list_all() { # OPTION
  for program in "${programs[@]}"; do "$bin/$program" "$1"; done | sort -u
}
case $2 in
  events)
    cat <<'END'
# Events and counters

Made by `scripts/catalogue.sh`; the test `catalogues` keeps it equal to the programs. Programs write events to the log (text or JSON lines, see the section `log` of `docs/SETTINGS.md`) and serve counters at `GET /v1/counters`, with `mulberryrudder_` before the name and `_` for `.`. Each counter starts at 0 when its process starts.

## Events
| number | name | severity | meaning | what to do |
| --- | --- | --- | --- | --- |
END
    list_all --list-events | sort -t'|' -k2 -n
    cat <<'END'

## Counters
A counter `refused.REASON` counts the requests that were refused for that reason; the answer to the caller names the same reason. When one grows although the customers keep their rates, `mulberryctl explain REQUEST-ID` tells the way of a single request.

| counter | meaning |
| --- | --- |
END
    list_all --list-counters
    ;;
  settings)
    cat <<'END'
# Settings

Made by `scripts/catalogue.sh`; the test `catalogues` keeps it equal to the programs. A settings file is JSON with comments: one object of sections. `--check-settings` checks a file without starting anything; each error names its place and what was expected, and the exit code is 2.
END
    for program in "${programs[@]}"; do
      printf '\n## %s\n| setting | range | needed | meaning |\n| --- | --- | --- | --- |\n' "$program"
      "$bin/$program" --list-settings
    done
    ;;
  *) echo "catalogue.sh: unknown catalogue \"$2\": expected events or settings" >&2; exit 2 ;;
esac

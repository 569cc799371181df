#!/usr/bin/env bash
# Writes the catalogues of events, counters and settings from the programs themselves.
# Usage: scripts/catalogue.sh BIN events|settings > docs/EVENTS.md or docs/SETTINGS.md
set -euo pipefail
bin=$1
programs=(mulberryrudder-entry mulberryrudder-control
          mulberryrudder-platform-entry mulberryrudder-platform-control)
of_all() { for it in "${programs[@]}"; do "$bin/$it" "$1"; done | sort -u; }
case $2 in
  events)
    cat <<'END'
# Events and counters

Made by `scripts/catalogue.sh`; the test `catalogues` keeps it equal to the programs. Programs write events to the log (text or JSON lines, see the section `log` of `docs/SETTINGS.md`) and serve counters at `GET /v1/counters`, with `mulberryrudder_` before the name and `_` for `.`. Each counter starts at 0 when its process starts.

## Events
| number | name | severity | meaning | what to do |
| --- | --- | --- | --- | --- |
END
    of_all --list-events | sort -t'|' -k2 -n
    cat <<'END'

## Counters
A counter `refused.REASON` counts the requests that were refused for that reason; the answer to the caller names the same reason. When one grows although the customers keep their rates, `mulberryctl explain REQUEST-ID` tells the way of a single request.

| counter | meaning |
| --- | --- |
END
    of_all --list-counters
    ;;
  settings)
    cat <<'END'
# Settings

Made by `scripts/catalogue.sh`; the test `catalogues` keeps it equal to the programs. A settings file is JSON with comments: one object of sections. `--check-settings` checks a file without starting anything; each error names its place and what was expected, and the exit code is 2.
END
    for it in "${programs[@]}"; do
      printf '\n## %s\n| setting | range | needed | meaning |\n| --- | --- | --- | --- |\n' "$it"
      "$bin/$it" --list-settings
    done
    ;;
  *) echo "catalogue.sh: $2: expected events or settings" >&2; exit 2 ;;
esac

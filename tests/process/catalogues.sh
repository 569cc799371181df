#!/usr/bin/env bash
# Expects docs/EVENTS.md and docs/SETTINGS.md to be what the programs say of themselves,
# and no event number to stand twice.
# Usage: catalogues.sh BIN
set -euo pipefail
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
diff <(scripts/catalogue.sh "$bin" events) docs/EVENTS.md
diff <(scripts/catalogue.sh "$bin" settings) docs/SETTINGS.md
twice=$(sed -n 's/^| \([0-9]\+\) | \([a-z._]*\) .*/\1/p' docs/EVENTS.md | sort | uniq -d)
if [ -n "$twice" ]; then echo "event numbers that stand twice: $twice"; exit 1; fi

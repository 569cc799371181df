#!/usr/bin/env bash
# Expects docs/EVENTS.md and docs/SETTINGS.md to equal the output of scripts/catalogue.sh, and
# event numbers to be unique.
# Usage: catalogues.sh BIN
set -euo pipefail
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
diff <(scripts/catalogue.sh "$bin" events) docs/EVENTS.md
diff <(scripts/catalogue.sh "$bin" settings) docs/SETTINGS.md
duplicates=$(sed -n 's/^| \([0-9]\+\) | \([a-z._]*\) .*/\1/p' docs/EVENTS.md | sort | uniq -d)
if [ -n "$duplicates" ]; then echo "duplicate event numbers: $duplicates"; exit 1; fi

#!/usr/bin/env bash
# Runs every command that the docs mark as runnable: the blocks that open with ```sh run.
# All blocks of one page run in order in one shell, in an empty folder, with the programs on
# the path, ROOT naming the repository; processes that a page starts are ended with it.
# Usage: documented_commands.sh BIN
set -euo pipefail
bin=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/../.." && pwd)
pages=0
for page in "$root"/README.md "$root"/docs/*.md "$root"/samples/*/README.md; do
  commands=$(awk '/^```sh run$/ {on = 1; next} /^```$/ {on = 0} on' "$page")
  [ -n "$commands" ] || continue
  pages=$((pages + 1))
  work=$(mktemp -d)
  echo "- ${page#"$root"/}"
  if ! (cd "$work" && PATH=$bin:$PATH ROOT=$root timeout 60 bash -euo pipefail -c "
      trap 'kill \$(jobs -p) 2> /dev/null || true; sleep 0.5; kill \$(jobs -p) 2> /dev/null || true; wait' EXIT
      $commands") > "$work.out" 2>&1; then
    cat "$work.out"
    echo "FAILED: a command of ${page#"$root"/}"
    exit 1
  fi
  rm -rf "$work" "$work.out"
done
echo "$pages pages with commands ran"
[ "$pages" -gt 0 ]

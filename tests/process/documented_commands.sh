#!/usr/bin/env bash
# Runs the commands of the README, docs/ and samples/ in code blocks that open with ```sh run,
# and expects each to succeed. All blocks of a page run in order in one shell, in an empty
# folder, with the programs on PATH and ROOT set to the repository. The processes that a page
# starts are stopped at its end; a page may take 60 s.
# Usage: documented_commands.sh BIN
set -euo pipefail
bin=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/../.." && pwd)
pages=0
for page in "$root"/README.md "$root"/docs/*.md "$root"/samples/*/README.md; do
  commands=$(awk '/^```sh run$/ {in_block = 1; next} /^```$/ {in_block = 0} in_block' "$page")
  [ -n "$commands" ] || continue
  pages=$((pages + 1))
  work=$(mktemp -d)
  echo "- ${page#"$root"/}"
  if ! (cd "$work" && PATH=$bin:$PATH ROOT=$root timeout 60 bash -euo pipefail -c "
      trap 'kill \$(jobs -p) 2> /dev/null || true; sleep 0.5; kill \$(jobs -p) 2> /dev/null || true; wait' EXIT
      $commands") > "$work.out" 2>&1; then
    cat "$work.out"
    echo "FAILED: a command failed or timed out in ${page#"$root"/}"
    exit 1
  fi
  rm -rf "$work" "$work.out"
done
echo "$pages pages with commands ran"
[ "$pages" -gt 0 ]

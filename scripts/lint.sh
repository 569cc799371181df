#!/usr/bin/env bash
# Checks the format (clang-format) and the names and habits (clang-tidy) of all sources.
# Usage: scripts/lint.sh [FILE...]   Without files, all sources that git tracks.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
fi
clang-format --dry-run -Werror "${files[@]}"
[ -f build/release/compile_commands.json ] || cmake --preset release > /dev/null
# A source is checked again only if it, a header or the configuration has changed.
cache=build/tidy
mkdir -p "$cache"
common=$(git ls-files '*.hpp' .clang-tidy CMakeLists.txt | sort | xargs cat | sha256sum | cut -d' ' -f1)
export cache common
check() {
  local stamp
  stamp="$cache/$(printf '%s %s %s' "$common" "$1" "$(sha256sum < "$1")" | sha256sum | cut -d' ' -f1)"
  [ -e "$stamp" ] && return 0
  clang-tidy -p build/release --quiet "$1" 2> /dev/null && touch "$stamp"
}
export -f check
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "${JOBS:-10}" -I{} bash -c 'check {}'
echo "lint: ${#files[@]} files clean"

#!/usr/bin/env bash
# Checks C++ files: format with clang-format, naming and static analysis with clang-tidy.
# Usage: scripts/lint.sh [FILE...]   Without arguments, checks all C++ files that git tracks.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
fi
clang-format --dry-run -Werror "${files[@]}"
[ -f build/release/compile_commands.json ] || cmake --preset release > /dev/null
# clang-tidy skips a source that has passed unless it, a header, .clang-tidy or CMakeLists.txt
# has changed since.
cache=build/tidy
mkdir -p "$cache"
common_hash=$(git ls-files '*.hpp' .clang-tidy CMakeLists.txt | sort | xargs cat | sha256sum | cut -d' ' -f1)
export cache common_hash
run_clang_tidy() { # FILE
  local stamp
  stamp="$cache/$(printf '%s %s %s' "$common_hash" "$1" "$(sha256sum < "$1")" | sha256sum | cut -d' ' -f1)"
  [ -e "$stamp" ] && return 0
  clang-tidy -p build/release --quiet "$1" 2> /dev/null && touch "$stamp"
}
export -f run_clang_tidy
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "${JOBS:-10}" -I{} bash -c 'run_clang_tidy {}'
echo "lint: ${#files[@]} files clean"

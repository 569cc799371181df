#!/usr/bin/env bash
# Installs, builds, checks format and names, and runs all tests, also under the sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
jobs=${JOBS:-10}
for preset in release asan tsan; do
  cmake --preset "$preset" > /dev/null
  cmake --build "build/$preset" -j "$jobs" -- --quiet
done
scripts/lint.sh
ctest --test-dir build/tsan -j "$jobs" --output-on-failure -L tsan --no-tests=ignore
ctest --test-dir build/asan -j "$jobs" --output-on-failure -LE 'process|long' --no-tests=ignore
ctest --test-dir build/release -j "$jobs" --output-on-failure

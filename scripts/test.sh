#!/usr/bin/env bash
# Installs, builds, checks format and names, and runs all tests: the fast ones also with the
# address and undefined behaviour sanitizers, the real processes also with the thread sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
# The cache serves clones in other folders too.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=true
scripts/install.sh
jobs=${JOBS:-10}
programs=(mulberryrudder-entry mulberryrudder-control mulberryctl
          mulberryrudder-fake-target mulberryrudder-fake-caller)
for preset in release asan tsan; do cmake --preset "$preset" > /dev/null; done
cmake --build build/release -j "$jobs" -- --quiet
cmake --build build/asan -j "$jobs" -- --quiet
cmake --build build/tsan -j "$jobs" --target "${programs[@]}" -- --quiet
scripts/lint.sh
echo "with the thread sanitizer:"
tests/process/process_faults.sh build/tsan/bin 25000
echo "with the address and undefined behaviour sanitizers:"
ctest --test-dir build/asan -j "$jobs" --output-on-failure -LE 'process|long'
echo "as released:"
ctest --test-dir build/release -j "$jobs" --output-on-failure

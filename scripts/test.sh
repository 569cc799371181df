#!/usr/bin/env bash
# Installs, builds, checks format and names, and runs all tests: the fast ones also with the
# address and undefined behaviour sanitizers, the real processes also with the thread sanitizer.
#
# Tests that KNOWN-RED.txt lists are run and must fail, case by case; `ctest NAME` there
# stands for a whole test that is left out. Both are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
export MULBERRYRUDDER_KNOWN_RED=$PWD/KNOWN-RED.txt
left_out=$(sed -n 's/^ctest \([^ |]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')
echo "known to fail:"
grep '|' KNOWN-RED.txt || echo "none"
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
ctest --test-dir build/asan -j "$jobs" --output-on-failure -LE 'process|long' -E "^($left_out)\$"
echo "as released:"
ctest --test-dir build/release -j "$jobs" --output-on-failure -E "^($left_out)\$"

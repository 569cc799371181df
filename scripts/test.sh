#!/usr/bin/env bash
# Installs the dependencies, builds, runs the linter and all tests. The tests without the
# labels process and long also run with the address and undefined behaviour sanitizers, and
# the process fault test also runs with the thread sanitizer.
#
# Test cases that KNOWN-RED.txt lists are run and must fail. An entry `ctest NAME` excludes a
# whole CTest test. Both kinds of entry are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
export MULBERRYRUDDER_KNOWN_RED=$PWD/KNOWN-RED.txt
excluded=$(sed -n 's/^ctest \([^ |]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')
echo "known to fail:"
grep '|' KNOWN-RED.txt || echo "none"
# Lets clones in different folders share the compiler cache.
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
ctest --test-dir build/asan -j "$jobs" --output-on-failure -LE 'process|long' -E "^($excluded)\$"
echo "as released:"
ctest --test-dir build/release -j "$jobs" --output-on-failure -E "^($excluded)\$"

#!/usr/bin/env bash
# Generates the C++ code of the schemas; its output is committed, so that a build needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile -oc++:schemas/generated --src-prefix=schemas schemas/*.capnp

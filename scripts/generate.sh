#!/usr/bin/env bash
# Generates the C++ code of the schemas. The output is committed, so that a build does not
# need the Cap'n Proto compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile -oc++:schemas/generated --src-prefix=schemas schemas/*.capnp

#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -I review/stand_ins "$source" -o "target/review/case-$name"
done

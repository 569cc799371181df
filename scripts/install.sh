#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need and that are missing.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev libboost-thread1.81-dev
  libboost-system1.81-dev libboost-url1.81-dev libboost-filesystem1.81-dev
  libcapnp-dev capnproto prometheus-cpp-dev libpopt-dev libcppunit-dev librapidcheck-dev libssl-dev
  libbenchmark-dev jq strace
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" > /dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"

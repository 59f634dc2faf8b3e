#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build clang-format clang-tidy clang-tools protobuf-compiler
  libboost1.81-dev libboost-json1.81-dev libzmq3-dev cppzmq-dev libprotobuf-dev
  prometheus-cpp-dev libdocopt-dev libgoogle-glog-dev doctest-dev librapidcheck-dev
  libssl-dev zlib1g-dev libbenchmark-dev curl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null ||
    { echo "install-packages: cannot install: ${missing[*]}" >&2; exit 1; }
fi

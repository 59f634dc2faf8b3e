#!/usr/bin/env bash
# Installs the packages, builds everything, and runs all checks and tests. Used by CI and in the
# README. The program that runs on the platform is also built as deploy/system.toml does, because
# the compiler reports other warnings with those options.
set -euo pipefail
cd "$(dirname "$0")/.."
bash Utilities/install-packages.sh
cmake --preset release >/dev/null
cmake --build --preset release
cmake -S . -B build-deploy -DCMAKE_BUILD_TYPE=Release -DPERSIMMONSHELF_DEPLOY_ONLY=ON >/dev/null
cmake --build build-deploy -j "$(nproc)" --target persimmonshelf-proxy
bash Utilities/lint.sh build
bash Utilities/run-tests.sh

#!/usr/bin/env bash
# Installs, builds, checks and tests everything; the command of the README and of CI.
set -euo pipefail
cd "$(dirname "$0")/.."
bash Utilities/install-packages.sh
cmake --preset release >/dev/null
cmake --build --preset release
bash Utilities/lint.sh build
ctest --preset release
bash Utilities/end-to-end.sh

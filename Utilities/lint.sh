#!/usr/bin/env bash
# Checks the format and the direction of dependencies, and runs clang-tidy.
# Usage: lint.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cxx' '*.h' | grep -v '\.pb\.')
clang-format --dry-run -Werror "${files[@]}"
bash Utilities/check-dependencies.sh
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cxx$' | grep -v -E '^Tests/')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
echo "lint: ${#files[@]} files formatted, ${#sources[@]} files checked"

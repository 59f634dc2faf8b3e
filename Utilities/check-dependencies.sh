#!/usr/bin/env bash
# Fails if a module includes a header of a module above it: logic may not use adapters, adapters may
# not use programs.
set -euo pipefail
cd "$(dirname "$0")/../Source"
declare -A allowed=(
  [Base]="Base" [Wire]="Base Wire" [Group]="Base Group" [Session]="Base Session"
  [Limits]="Base Limits" [Home]="Base Group Home" [Control]="Base Control" [Account]="Base Account"
  [Entry]="Base Group Session Entry"
  [Engine]="Base Wire Group Session Limits Home Control Account Entry Engine"
  [Net]="Base Net"
  [Adapters]="Base Wire Group Session Limits Home Control Account Entry Engine Net Adapters")
status=0
for module in "${!allowed[@]}"; do
  [ -d "$module" ] || continue
  pattern=$(echo "${allowed[$module]}" | tr ' ' '|')
  if grep -n -E '^#include "[A-Z][A-Za-z]*/' "$module"/*.h "$module"/*.cxx 2>/dev/null |
    grep -v -E "#include \"($pattern)/"; then
    echo "check-dependencies: $module may include only: ${allowed[$module]}" >&2
    status=1
  fi
done
exit $status

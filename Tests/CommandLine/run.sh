#!/usr/bin/env bash
# Runs every form of the command line against a port without a listener, and compares exit codes and
# the first line of errors with command-line.expected. Guards against a form that the parser refuses
# or reads as another command, and against a key that is repeated in an error.
set -uo pipefail
program=$1
cd "$(dirname "$0")"
unset PERSIMMONSHELF_AT
while IFS= read -r line; do
  [ -n "$line" ] || continue
  read -r -a words <<<"$line"
  errors=$("$program" "${words[@]}" 2>&1 >/dev/null </dev/null)
  code=$?
  echo "$line"
  echo "  $code: $(head -n 1 <<<"$errors")"
done <commands | diff command-line.expected - && echo "all commands as expected"

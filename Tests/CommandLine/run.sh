#!/usr/bin/env bash
# Runs every form of the command line against a port without a listener and compares the exit code and
# the first line of standard error with command-line.expected. Fails if the parser rejects a form or
# reads it as another command, or if an error message contains a key.
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

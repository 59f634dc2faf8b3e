#!/usr/bin/env bash
# Exits with 1 if rule STALE or ONE was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/Source/persimmonshelf-proxy ] && [ -x review/out/case1 ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
timeout --signal=TERM 110 review/out/case1 review/1/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"

#!/usr/bin/env bash
# Starts a small deployment on loopback and checks the rule of claim.txt. Exits with 1 if it was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/Source/persimmonshelf-proxy ] || [ ! -x target/review/fleet_case ]; then
  echo "build the deploy file's program and review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The stand-in ends the processes that it started, also when it is stopped.
timeout -s TERM 118 target/review/fleet_case drained_primary "$folder" review/10/record.txt
result=$?
tail -n 1 review/10/record.txt
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac

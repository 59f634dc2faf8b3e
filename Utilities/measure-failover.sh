#!/usr/bin/env bash
# Measures how long writes fail after a fault of the primary, with real processes. Each run takes the
# primary down and up again and prints the time from the fault to the next acknowledged write.
# Usage: measure-failover.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-10}
FLEET_DIR=$(mktemp -d)
FLEET_PORT=${FLEET_PORT:-23000}
# shellcheck source=Utilities/fleet.sh
. Utilities/fleet.sh
trap stop_fleet EXIT

now_ms() { date +%s%3N; }
down() { curl -sS -m 5 -X POST -d "{\"down\":$2}" "http://$(member_address "$1")/control" >/dev/null; }
write() {
  statement 1 "$key" "{\"database\":\"orders\",\"statement\":\"PUT k $1\",\"kind\":\"write\",\"deadline_ms\":$2}" |
    grep -q '"outcome":"done"'
}
primary() {
  curl -sS -m 5 "http://$(operator_address 0)/v1/status/database/orders" |
    sed 's/.*"primary":"m\([0-9]\)".*/\1/'
}

start_fleet --replication-delay-ms=3
write_config 2000 400
"$FLEET_BUILD/Source/persimmonshelf" --at "$(operator_address 0)" config set "$FLEET_DIR/fleet.json" >/dev/null
wait_until "the key is created" give_key 0 harbour
key=$(cat "$FLEET_DIR/harbour.key")
sleep 3
for run in $(seq "$runs"); do
  wait_until "a write is acknowledged" write "$run" 2000
  failed=$(primary)
  start=$(now_ms)
  down "$failed" true
  until write "$run-after" 250; do
    [ $(($(now_ms) - start)) -lt 30000 ] || { echo "run $run: no acknowledged write for 30 s" >&2; exit 1; }
  done
  echo "run $run: m$failed down, next acknowledged write after $(($(now_ms) - start)) ms"
  down "$failed" false
  sleep 3
done

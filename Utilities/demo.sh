#!/usr/bin/env bash
# Installs the packages, builds the project and runs a small fleet on loopback. Shows a write, a
# read of it through another instance, refused requests, a trace and the account of the month. With
# --built, skips the installation and the build.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" != "--built" ]; then
  bash Utilities/install-packages.sh
  cmake --preset release >/dev/null
  cmake --build --preset release
fi
FLEET_DIR=$(mktemp -d)
FLEET_PORT=${FLEET_PORT:-17000}
# shellcheck source=Utilities/fleet.sh
. Utilities/fleet.sh
trap stop_fleet EXIT
tool() { "$FLEET_BUILD/Source/persimmonshelf" --at "$(operator_address "$1")" "${@:2}"; }
show() { sed -e 's/"session":"[^"]*"/"session":"..."/' -e 's/"trace":"[^"]*"/"trace":"..."/'; echo; }
field() { sed "s/.*\"$1\":\"\\([^\"]*\\)\".*/\\1/"; }

echo "== starting three instances in three zones and a database with three members"
start_fleet
write_config
tool 0 config set "$FLEET_DIR/fleet.json" | head -n 1
wait_until "the key is created" give_key 0 harbour
wait_until "the key is created" give_key 0 orchard
harbour=$(cat "$FLEET_DIR/harbour.key")
orchard=$(cat "$FLEET_DIR/orchard.key")
sleep 3

echo "== writing through instance n1"
written=$(statement 0 "$harbour" '{"database":"orders","statement":"PUT job-1 done","kind":"write"}')
echo "$written" | show
session=$(echo "$written" | field session)
echo "== reading the value through instance e1 with the session token of the write"
statement 2 "$harbour" "{\"database\":\"orders\",\"statement\":\"GET job-1\",\"kind\":\"read\",\"session\":\"$session\"}" | show
echo "== a request with an invalid key is refused"
statement 1 "pskey_wrong" '{"database":"orders","statement":"GET job-1","kind":"read"}' | show
echo "== requests above the workspace's limits (rate 1, burst 3) are refused"
for _ in 1 2 3 4 5 6 7 8; do
  answer=$(statement 1 "$orchard" '{"database":"orders","statement":"GET job-1","kind":"read"}')
done
echo "$answer" | show
echo "== trace of the write"
tool 0 trace "$(echo "$written" | field request_id)"
sleep 6
echo "== account of the current month"
tool 1 account "$(date -u +%Y-%m)"
echo "demo: done"

# Functions that start and stop a small fleet with stand-ins on loopback. Source this file from a
# script that sets $FLEET_DIR, the folder for the files of the fleet. Ports start at $FLEET_PORT.
# shellcheck shell=bash

FLEET_BUILD=${FLEET_BUILD:-build}
FLEET_PORT=${FLEET_PORT:-17000}
FLEET_ZONES=(north south east)
FLEET_INSTANCES=(n1 s1 e1)
declare -A FLEET_PIDS=()

platform_address() { echo "127.0.0.1:$FLEET_PORT"; }
# Members m0 to m2, one in each zone.
member_address() { echo "127.0.0.1:$((FLEET_PORT + 10 + $1))"; }
caller_address() { echo "127.0.0.1:$((FLEET_PORT + 100 + $1))"; }
operator_address() { echo "127.0.0.1:$((FLEET_PORT + 200 + $1))"; }
peer_address() { echo "127.0.0.1:$((FLEET_PORT + 300 + $1))"; }
metrics_address() { echo "127.0.0.1:$((FLEET_PORT + 400 + $1))"; }

start_process() {
  local name=$1
  shift
  "$@" >"$FLEET_DIR/$name.log" 2>&1 &
  FLEET_PIDS[$name]=$!
}

stop_process() {
  local name=$1 signal=${2:-TERM}
  kill -s "$signal" "${FLEET_PIDS[$name]}" 2>/dev/null || true
}

# Kills every process that start_process started.
stop_fleet() {
  local name
  for name in "${!FLEET_PIDS[@]}"; do
    kill -s KILL "${FLEET_PIDS[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

# wait_until DESCRIPTION COMMAND...: waits up to 15 s until a command succeeds.
wait_until() {
  local what=$1 tries=150
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
      echo "fleet: timed out waiting until $what; logs are in $FLEET_DIR" >&2
      return 1
    fi
    sleep 0.1
  done
}

post() { curl -sS -m 15 -X POST -H 'Content-Type: application/json' -d "$2" "http://$1"; }

start_platform() {
  start_process platform "$FLEET_BUILD/Utilities/standin_platform" --listen="$(platform_address)"
  wait_until "the platform answers" curl -sS -m 1 "http://$(platform_address)/v1/instances"
}

# start_member NUMBER [OPTION...]: starts a member, passing further options to standin_backend.
start_member() {
  local number=$1 peers="" other
  shift
  for other in 0 1 2; do
    [ "$other" = "$number" ] && continue
    peers+="${peers:+,}m$other=$(member_address "$other")"
  done
  start_process "m$number" "$FLEET_BUILD/Utilities/standin_backend" \
    --listen="$(member_address "$number")" --member="m$number" --peers="$peers" "$@"
  wait_until "m$number answers" curl -sS -m 1 "http://$(member_address "$number")/v1/status"
}

write_settings() {
  local number=$1 name=${FLEET_INSTANCES[$1]} zone=${FLEET_ZONES[$(($1 % 3))]}
  cat >"$FLEET_DIR/$name.json" <<JSON
{
  "instance": "$name",
  "zone": "$zone",
  "caller_address": "$(caller_address "$number")",
  "operator_address": "$(operator_address "$number")",
  "peer_address": "$(peer_address "$number")",
  "metrics_address": "$(metrics_address "$number")",
  "platform_address": "$(platform_address)",
  "session_secret": "only-for-this-loopback-fleet"
}
JSON
}

start_instance() {
  local number=$1 name=${FLEET_INSTANCES[$1]}
  write_settings "$number"
  start_process "$name" "$FLEET_BUILD/Source/persimmonshelfd" --settings "$FLEET_DIR/$name.json"
  wait_until "$name answers" curl -sS -m 1 "http://$(operator_address "$number")/v1/status"
}

# Publishes the list of instances at the platform stand-in.
list_instances() {
  local number list="" name
  for number in "${!FLEET_INSTANCES[@]}"; do
    name=${FLEET_INSTANCES[$number]}
    list+="${list:+,}{\"instance\":\"$name\",\"zone\":\"${FLEET_ZONES[$((number % 3))]}\","
    list+="\"address\":\"$(peer_address "$number")\",\"state\":\"live\"}"
  done
  curl -sS -m 5 -X PUT -d "[$list]" "http://$(platform_address)/control/instances" >/dev/null
}

write_config() {
  local rate=${1:-500} burst=${2:-100}
  cat >"$FLEET_DIR/fleet.json" <<JSON
{
  "workspaces": [
    {"name": "harbour", "rate": $rate, "burst": $burst},
    {"name": "orchard", "rate": 1, "burst": 3}
  ],
  "databases": [
    {
      "name": "orders",
      "slots": 3,
      "connections": 50,
      "default_max_age_ms": 5000,
      "members": [
        {"name": "m0", "zone": "north", "address": "$(member_address 0)"},
        {"name": "m1", "zone": "south", "address": "$(member_address 1)"},
        {"name": "m2", "zone": "east", "address": "$(member_address 2)"}
      ]
    }
  ],
  "routes": [
    {"name": "shop", "databases": ["orders"], "workspaces": ["harbour", "orchard"]},
    {"name": "catalogue", "databases": ["orders"], "open": true}
  ]
}
JSON
}

start_fleet() {
  local number
  start_platform
  start_member 0 --primary "$@"
  start_member 1 "$@"
  start_member 2 "$@"
  list_instances
  for number in "${!FLEET_INSTANCES[@]}"; do
    start_instance "$number"
  done
}

# statement NUMBER KEY BODY: sends one statement on route "shop" through instance NUMBER.
statement() {
  curl -sS -m 30 -X POST -H "Authorization: Bearer $2" -d "$3" \
    "http://$(caller_address "$1")/v1/routes/shop/statement"
}

# give_key NUMBER WORKSPACE: creates a key through instance NUMBER and stores it in WORKSPACE.key.
give_key() {
  local answer
  answer=$(post "$(operator_address "$1")/v1/keys" "{\"workspace\":\"$2\"}")
  echo "$answer" | grep -q '"code":0' || return 1
  echo "$answer" | sed 's/.*"key":"\([^"]*\)".*/\1/' >"$FLEET_DIR/$2.key"
}

#!/usr/bin/env bash
# Runs callers with hostile texts through a fleet of persimmonshelf-proxy processes on loopback while
# signals come in overlapping series, and compares what the members ran with what was sent. The
# first two instances carry sessions; the others are smaller and relay theirs to them.
# Usage: statement-soak.sh [SECONDS] [SEED] [INSTANCES] [OPTION OF statement_check]...
# SOAK_SIGNALS=no runs without signals, pauses included. SOAK_FAULTS is no, moderate or many: how often
# members refuse commands and statements, lose or cut answers, delay them and close connections.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-30}
seed=${2:-1}
instances=${3:-6}
shift $(($# < 3 ? $# : 3))
build=${SOAK_BUILD:-build}
signals=${SOAK_SIGNALS:-yes}
faults=${SOAK_FAULTS:-moderate}
port=${SOAK_PORT:-16100}
folder=$(mktemp -d)
stand_in=127.0.5.250
databases=db1,db2,db3,db4
# Anyone may use db4.
open_databases=db4

# Members, a stand-in, the check and the series of signals come on top of the instances.
if [ "$instances" -lt 1 ] || [ "$instances" -gt 30 ]; then
  echo "statement-soak: 1 to 30 instances are supported" >&2
  exit 2
fi

# Shares of 1,000 messages, see standin_line_platform.
case $faults in
  no) share=0 rare=0 delay=0 ;;
  moderate) share=5 rare=2 delay=300 ;;
  # Some answers come after the time limit of the routes.
  many) share=30 rare=10 delay=2500 ;;
  *)
    echo "statement-soak: SOAK_FAULTS: expected no, moderate or many, found $faults" >&2
    exit 2
    ;;
esac

# Two runs on the same addresses would reach each other's instances.
exec 9>"${TMPDIR:-/tmp}/statement-soak-$port.lock"
if ! flock -n 9; then
  echo "statement-soak: port $port is used by another run; set SOAK_PORT" >&2
  exit 2
fi

instance_host() { echo "127.0.5.$(($1 + 1))"; }

# The identifier of the instance's process; empty if it has ended.
running_pid() {
  local pid
  pid=$(cat "$folder/i$1.pid" 2>/dev/null) || return 0
  # An identifier may be used again by a process that is not ours.
  if tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -qF "$folder/i$1.json"; then echo "$pid"; fi
}

signal_instance() {
  local pid
  pid=$(running_pid "$1")
  [ -z "$pid" ] || kill -s "$2" "$pid" 2>/dev/null || true
}

stop_series() {
  touch "$folder/stop"
  [ "${#series[@]}" -eq 0 ] || wait "${series[@]}" 2>/dev/null || true
  series=()
}

stop_all() {
  local number
  stop_series
  for ((number = 0; number < instances; number++)); do signal_instance "$number" KILL; done
  [ -z "${platform:-}" ] || kill -s TERM "$platform" 2>/dev/null || true
  wait 2>/dev/null || true
}

series=()
trap stop_all EXIT

route() {
  echo "{\"name\":\"$1\",\"host\":\"$1\",\"service\":\"g1\",\"prefix\":\"/\",\"kind\":\"$2\"," \
    "\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":1,\"max_attempts\":2," \
    "\"max_staleness_ms\":2500,\"public\":$3}"
}

member() {
  echo "{\"id\":\"m$1\",\"address\":\"$stand_in:$((port + $1))\",\"zone\":\"z1\",\"primary\":$2}"
}

refusals() { echo "{\"BUSY\":$1,\"FAILED\":$1,\"TIMEOUT\":$1,\"NOSTMT\":$1}"; }

write_platform() {
  cat >"$folder/platform.json" <<JSON
{
  "store": "$stand_in:$port", "group": "g1", "statement_ms": 1, "record": "$folder/record.jsonl",
  "faults": {"seed": $seed, "session": $(refusals "$share"), "statements": $(refusals "$rare"),
             "lost": $rare, "cut": $rare, "closed": $rare, "delayed": $share, "delay_ms": $delay},
  "members": [$(member 1 true), $(member 2 false), $(member 3 false)],
  "configuration": {
    "version": 1,
    "routes": [$(route db1 primary false), $(route db2 bounded_staleness false),
               $(route db3 read_your_writes false), $(route db4 bounded_staleness true)],
    "services": [{"name": "g1", "max_conns": 60, "sync_replicas": 0}],
    "limits": {"tx_idle_ms": 500},
    "tenants": [{"name": "w1", "api_keys": ["key1"], "priority": 1, "rate_per_s": 100000,
                 "burst": 100000}]
  }
}
JSON
}

write_settings() {
  local number=$1 host seeds="" other cores=0.084
  host=$(instance_host "$number")
  for ((other = 0; other < instances; other++)); do
    seeds+="${seeds:+,}\"$(instance_host $other):$((port + 3))\""
  done
  [ "$number" -lt 2 ] && cores=2
  cat >"$folder/i$number.json" <<JSON
{
  "instance": "i$number", "zone": "z1", "seeds": [$seeds],
  "listen": {"callers": "$host:$port", "readiness": "$host:$((port + 1))",
             "relay": "$host:$((port + 2))", "peers": "$host:$((port + 3))",
             "metrics": "$host:$((port + 4))"},
  "store": {"address": "$stand_in:$port"},
  "duties": {"address": "$stand_in:$port", "lists": []},
  "key_revocation_ms": 5000, "stop_grace_s": 2, "configuration_limit_ms": 3000,
  "processor_cores": $cores, "limits": {"memory_mb": 112, "descriptors": 512},
  "first_start": $([ "$number" -eq 0 ] && [ ! -e "$folder/i0.log" ] && echo true || echo false)
}
JSON
}

start_instance() {
  write_settings "$1"
  "$build/Source/persimmonshelf-proxy" run --settings "$folder/i$1.json" >>"$folder/i$1.log" 2>&1 &
  echo "$!" >"$folder/i$1.pid"
  # The shell would report its end by a signal.
  disown
}

is_ready() { curl -s -m 1 -o /dev/null -f "http://$(instance_host "$1"):$((port + 1))/readiness"; }

wait_ready() {
  local tries
  for ((tries = 0; tries < 150; tries++)); do
    is_ready "$1" && return 0
    sleep 0.1
  done
  echo "statement-soak: instance i$1 is not ready; logs are in $folder" >&2
  return 1
}

# Stops an instance for a moment. Its neighbours may take it for gone meanwhile.
pause_instance() {
  signal_instance "$1" STOP
  sleep "$((RANDOM % 3)).$((RANDOM % 9 + 1))"
  signal_instance "$1" CONT
  echo "STOP i$1" >>"$folder/series.log"
}

# Sends one signal after another to instances that it draws, and starts again those that end. The
# series overlap; of one instance only one series at a time takes care. Instances 0 and 1 carry the
# sessions, so that they are never both away by this script.
run_series() {
  local signal=$1 lock number tries
  RANDOM=$((seed * 31 + $2))
  while [ ! -e "$folder/stop" ]; do
    sleep "0.$((RANDOM % 9 + 1))"
    number=$((RANDOM % instances))
    lock="$folder/lock.$number"
    [ "$number" -lt 2 ] && lock="$folder/lock.carriers"
    if [ "$signal" = HUP ]; then
      signal_instance "$number" HUP
      continue
    fi
    mkdir "$lock" 2>/dev/null || continue
    if [ -z "$(running_pid "$number")" ]; then
      echo "statement-soak: i$number ended by itself" >>"$folder/series.log"
    fi
    if [ "$signal" = STOP ]; then
      pause_instance "$number"
      rmdir "$lock"
      continue
    fi
    signal_instance "$number" "$signal"
    for ((tries = 0; tries < 60; tries++)); do
      [ -n "$(running_pid "$number")" ] || break
      sleep 0.1
    done
    if [ "$tries" -eq 60 ]; then
      echo "statement-soak: i$number did not end within 6 s of $signal" >>"$folder/series.log"
      signal_instance "$number" KILL
      sleep 0.2
    fi
    echo "$signal i$number" >>"$folder/series.log"
    start_instance "$number"
    wait_ready "$number" 2>>"$folder/series.log" || true
    rmdir "$lock"
    sleep "$((RANDOM % 2)).$((RANDOM % 9 + 1))"
  done
}

write_platform
"$build/Utilities/standin_line_platform" --settings="$folder/platform.json" \
  >"$folder/platform.log" 2>&1 &
platform=$!
sleep 0.3
# Callers must not reach the instances of another run at the same addresses.
if ! kill -0 "$platform" 2>/dev/null; then
  cat "$folder/platform.log" >&2
  echo "statement-soak: the stand-in did not start; SOAK_PORT chooses other ports" >&2
  exit 2
fi
list=""
for ((number = 0; number < instances; number++)); do
  start_instance "$number"
  list+="${list:+,}$(instance_host "$number"):$port"
  # The carriers are chosen before the others come.
  [ "$number" -gt 1 ] || wait_ready "$number"
done
for ((number = 0; number < instances; number++)); do wait_ready "$number"; done
sleep 3

if [ "$signals" = yes ]; then
  run_series HUP 1 & series+=($!)
  run_series TERM 2 & series+=($!)
  run_series KILL 3 & series+=($!)
  run_series STOP 4 & series+=($!)
fi
failed=0
"$build/Utilities/statement_check" --instances="$list" --record="$folder/record.jsonl" \
  --databases="$databases" --open="$open_databases" --key=key1 --seconds="$seconds" --seed="$seed" "$@" || failed=$?
stop_series
for ((number = 0; number < instances; number++)); do
  if [ -z "$(running_pid "$number")" ]; then
    echo "statement-soak: i$number ended by itself" >>"$folder/series.log"
  fi
done

for ((number = 2; number < instances; number++)); do
  grep -q '"carries":"no"' "$folder/i$number.log" ||
    echo "statement-soak: instance i$number never relayed sessions"
done
for signal in TERM KILL STOP; do
  echo "instances sent $signal: $(grep -c "^$signal" "$folder/series.log" 2>/dev/null || true)"
done
if grep "statement-soak" "$folder/series.log" 2>/dev/null; then failed=1; fi
if [ "$failed" -ne 0 ]; then
  echo "statement-soak: failed with seed $seed; record and logs are in $folder" >&2
  exit 1
fi
stop_all
trap - EXIT
rm -rf "$folder"
echo "statement-soak: passed with seed $seed"

#!/usr/bin/env bash
# Measures a fleet of real processes on loopback. Usage: measure-capacity.sh memory|platform N|path
#   memory      resident memory of one instance by the number of idle caller connections
#   platform N  calls to the platform, processor time and traffic of N instances, idle and with 16
#               callers per instance that read every 100 ms
#   path        latency and processor time of statements through the fleet and directly at members
set -euo pipefail
cd "$(dirname "$0")/.."
export FLEET_PORT=${FLEET_PORT:-27000}
FLEET_DIR=$(mktemp -d)
# shellcheck source=Utilities/fleet.sh
source Utilities/fleet.sh
trap stop_fleet EXIT
ulimit -n "$(ulimit -Hn)"
ticks=$(getconf CLK_TCK)

set_instances() {
  FLEET_INSTANCES=()
  local number
  for ((number = 0; number < $1; ++number)); do FLEET_INSTANCES+=("n$number"); done
}

# User and system time of a process in milliseconds.
processor_ms() {
  local fields
  fields=$(sed 's/.*) //' "/proc/${FLEET_PIDS[$1]}/stat")
  awk -v t="$ticks" '{ printf "%d", ($12 + $13) * 1000 / t }' <<<"$fields"
}

# Processor time of all instances, and of all members, in milliseconds.
processor_of_instances() {
  local sum=0 name
  for name in "${FLEET_INSTANCES[@]}"; do sum=$((sum + $(processor_ms "$name"))); done
  echo "$sum"
}
processor_of_members() { echo $(($(processor_ms m0) + $(processor_ms m1) + $(processor_ms m2))); }

configure_fleet() {
  write_config 1000000 1000000
  sed -i "s/\"slots\": 3/\"slots\": ${1:-3}/; s/\"connections\": 50/\"connections\": ${2:-50}/" \
    "$FLEET_DIR/fleet.json"
  local tool="$FLEET_BUILD/Source/persimmonshelf"
  wait_until "the configuration is accepted" "$tool" --at "$(operator_address 0)" config set \
    "$FLEET_DIR/fleet.json"
  "$tool" --at "$(operator_address 0)" key give harbour >"$FLEET_DIR/key" || sleep 2
}

# Number of reads and of writes at the platform.
platform_counts() {
  curl -sS -m 5 "http://$(platform_address)/control/counts" |
    python3 -c 'import json,sys
c=json.load(sys.stdin)
print(sum(v["reads"] for v in c.values()), sum(v["writes"] for v in c.values()))'
}

all_callers() {
  local list="" number
  for number in "${!FLEET_INSTANCES[@]}"; do list+="${list:+,}$(caller_address "$number")"; done
  echo "$list"
}

# Bytes sent and received on the outgoing connections of the instances, by the kind of the remote
# end. Each connection between instances carries one direction.
socket_bytes() {
  ss -tinH | awk -v base="$FLEET_PORT" '
    /^[A-Z]/ { n = split($5, part, ":"); port = part[n] - base; next }
    { sent = got = 0
      if (match($0, /bytes_sent:[0-9]+/)) sent = substr($0, RSTART + 11, RLENGTH - 11)
      if (match($0, /bytes_received:[0-9]+/)) got = substr($0, RSTART + 15, RLENGTH - 15)
      kind = port == 0 ? "platform" : port >= 300 && port < 400 ? "peer" : \
             port >= 10 && port < 20 ? "member" : ""
      if (kind != "") { s[kind] += sent; r[kind] += got } }
    END { print s["peer"] + 0, r["peer"] + 0, s["member"] + 0, r["member"] + 0,
                s["platform"] + 0, r["platform"] + 0 }'
}

# window NAME SECONDS: prints platform calls, bytes and processor time over a period.
window() {
  local before after cpu members bytes
  before=$(platform_counts)
  bytes=$(socket_bytes)
  cpu=$(processor_of_instances)
  members=$(processor_of_members)
  sleep "$2"
  after=$(platform_counts)
  awk -v name="$1" -v n="${#FLEET_INSTANCES[@]}" -v s="$2" -v b="$bytes" -v a="$(socket_bytes)" \
    'BEGIN {
      split(b, x, " "); split(a, y, " ")
      split("peer_sent peer_received member_sent member_received platform_sent platform_received",
            label, " ")
      printf "%s bytes_s_instance", name
      for (i = 1; i <= 6; ++i) printf " %s %.0f", label[i], (y[i] - x[i]) / s / n
      print "" }'
  cpu=$(($(processor_of_instances) - cpu))
  members=$(($(processor_of_members) - members))
  awk -v name="$1" -v n="${#FLEET_INSTANCES[@]}" -v s="$2" -v cpu="$cpu" -v m="$members" \
    -v b="$before" -v a="$after" 'BEGIN {
      split(b, x, " "); split(a, y, " ")
      printf "%s instances %d seconds %d reads_s %.2f writes_s %.2f ", name, n, s,
             (y[1] - x[1]) / s, (y[2] - x[2]) / s
      printf "reads_s_instance %.2f writes_s_instance %.2f ", (y[1] - x[1]) / s / n,
             (y[2] - x[2]) / s / n
      printf "core_percent_instance %.2f core_percent_member %.2f\n", cpu / s / n / 10,
             m / s / 3 / 10 }'
}

measure_memory() {
  set_instances 1
  start_fleet
  configure_fleet
  "$FLEET_BUILD/Utilities/caller_memory" "$(caller_address 0)" "${FLEET_PIDS[n0]}" 1 500 2000 8000
}

measure_platform() {
  set_instances "$1"
  start_fleet
  configure_fleet
  sleep 15
  window idle "${SECONDS_EACH:-60}"
  "$FLEET_BUILD/Utilities/path_latency" fleet read "$((16 * $1))" \
    "$((${SECONDS_EACH:-60} + 2))" "$(all_callers)" "$FLEET_DIR/key" 100 &
  local load=$!
  sleep 1
  window load "${SECONDS_EACH:-60}"
  wait "$load"
  grep -h VmRSS "/proc/${FLEET_PIDS[n0]}/status"
}

# path_run MODE KIND CALLERS ADDRESSES: prints the output of path_latency with the processor time of
# instances and members per statement.
path_run() {
  local instances members line count
  instances=$(processor_of_instances)
  members=$(processor_of_members)
  line=$("$FLEET_BUILD/Utilities/path_latency" "$1" "$2" "$3" "${SECONDS_EACH:-10}" "$4" \
    "$FLEET_DIR/key")
  instances=$(($(processor_of_instances) - instances))
  members=$(($(processor_of_members) - members))
  count=$(awk '{ print $6 * 10 / 8 }' <<<"$line")
  awk -v l="$line" -v i="$instances" -v m="$members" -v d="$count" 'BEGIN {
    printf "%s instance_us_per_statement %.0f member_us_per_statement %.0f\n", l, i * 1000 / d,
           m * 1000 / d }'
}

measure_path() {
  set_instances 3
  start_fleet --slots=300 --connections=1000
  configure_fleet 300 900
  sleep 5
  local members callers
  members="$(member_address 0),$(member_address 1),$(member_address 2)"
  for callers in 1 16 256; do
    path_run direct read "$callers" "$members"
    path_run fleet read "$callers" "$(all_callers)"
    path_run direct write "$callers" "$(member_address 0)"
    path_run fleet write "$callers" "$(all_callers)"
  done
}

uptime
case "${1:-}" in
  memory) measure_memory ;;
  platform) measure_platform "${2:-3}" ;;
  path) measure_path ;;
  *) sed -n 2,6p "$0"; exit 2 ;;
esac
uptime

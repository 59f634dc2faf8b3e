#!/usr/bin/env bash
# Fails if a module includes a header of a module above it: logic must not use adapters, and
# adapters must not use programs.
set -euo pipefail
cd "$(dirname "$0")/../Source"
declare -A allowed=(
  [Base]="Base" [Wire]="Base Wire" [Group]="Base Group" [Session]="Base Session"
  [Limits]="Base Limits" [Home]="Base Group Home" [Control]="Base Control" [Account]="Base Account"
  [Entry]="Base Group Session Entry"
  [Engine]="Base Wire Group Session Limits Home Control Account Entry Engine"
  [Net]="Base Net"
  [Places]="Base Places" [Scheduling]="Base Scheduling" [Resources]="Base Resources"
  [Proxy]="Base Places Scheduling Proxy" [FleetWire]="FleetWire"
  [ProxyNode]="Base Net Places Resources Proxy FleetWire ProxyNode"
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
# The platform adapter only translates: it may include the project's data types but not its logic.
# Names of the platform's interfaces may appear only in the adapter.
cd ..
types="fleet_configuration|statement|member_command|member_status"
if grep -n -E '^#include "(Places|Scheduling|Proxy|ProxyNode|Net)/' platform/*.h platform/*.cxx |
  grep -v -E "#include \"Proxy/($types)\.h\""; then
  echo "check-dependencies: platform/ may include only Base and these types of Proxy: $types" >&2
  status=1
fi
names='rows-(tx|get|feed)|blob-|expected_rev"|"servers"|"op"|evacuate/|/promote|Lease-Holder|Fencing-Token'
names+='|db_role|api_keys|max_conns|sync_replicas"|warmup_left_ms"|max_staleness_ms|NODE_FILE'
names+='|"(NODB|NOAUTH|LAGGING|READONLY|MISROUTED|TOOMANY|NOSTMT|QUERY|START|STATUS|DEMOTE|PAUSE)'
if grep -n -E "$names" Source/Proxy/*.h Source/Proxy/*.cxx Source/ProxyNode/*.h Source/ProxyNode/*.cxx \
     Source/Places/*.h Source/Places/*.cxx Source/Scheduling/*.h Source/Scheduling/*.cxx; then
  echo "check-dependencies: names of the platform's interfaces may appear only in platform/" >&2
  status=1
fi
exit $status

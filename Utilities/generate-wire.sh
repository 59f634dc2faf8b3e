#!/usr/bin/env bash
# Regenerates the committed protobuf code. Run it after a change of the .proto files.
set -euo pipefail
cd "$(dirname "$0")/../Source"
protoc --cpp_out=. Wire/peer.proto FleetWire/fleet.proto

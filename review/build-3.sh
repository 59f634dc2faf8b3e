#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
libraries=(target/Source/libps_Net.a target/Source/libps_platform.a target/Source/libps_Proxy.a
  target/Source/libps_Base.a -lboost_json -lcrypto -lpthread)
for program in review/1[1-5]/*.cpp; do
  [ -e "$program" ] || continue
  name=$(basename "$program" .cpp)
  g++ -std=c++20 -O1 -I Source -I Utilities -I . -o "target/review/$name" "$program" \
    Utilities/StandIns/standin_feed_store.cxx "${libraries[@]}"
done

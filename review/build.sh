#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review. The daemon comes from the deploy file's
# build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in ForcedStop HeadLength KeptLimits SilentStore; do
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review/$name" "review/stand-ins/$name.cpp"
done

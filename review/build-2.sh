#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -g -Wall -Wextra -o "target/review-2/$name" "$source" -pthread
done

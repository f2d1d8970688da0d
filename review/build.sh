#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[1-5]/Case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -pthread "$source" -o "build/review/case-$number" &
done
for job in $(jobs -p); do
  wait "$job"
done

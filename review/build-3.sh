#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and later start, into build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
read -ra libraries <<<"$(pkg-config --cflags --libs cpp-httplib libsodium)"
g++ -std=c++20 -O1 -Wall -Wextra -o build/review-3/review-standin review/standin-3/*.cpp "${libraries[@]}" -lpthread

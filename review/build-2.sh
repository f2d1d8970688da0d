#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/6 to review/10 into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
g++ -O1 -std=c++20 -o build/review-2/loft-review-2 review/standin-2/*.cpp -lcpp-httplib -lpthread

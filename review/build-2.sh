#!/usr/bin/env bash
# Builds the stand-ins, clients and scenarios that the scripts of the second review start, into target/review-2/.
# Needs what the build of the deploy file needs, and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$name" "$source"
done

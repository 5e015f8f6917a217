#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into review/build/. Needs g++ only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c standin/standin.cpp -o build/standin.o
for it in fence sync stop quota; do
    g++ "${flags[@]}" "standin/$it.cpp" build/standin.o -o "build/$it"
done

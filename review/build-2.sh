#!/bin/sh
# Builds the stand-ins and the programs of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF \
    -DCMAKE_PROJECT_persimmonstile_INCLUDE="$PWD/review/harness-2/targets.cmake"
cmake --build target/review-2 -j "${JOBS:-8}" --target review_cases

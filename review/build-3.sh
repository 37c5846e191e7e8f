#!/bin/sh
# Builds the stand-ins and drivers of the cases 11 to 15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF \
    -DCMAKE_PROJECT_persimmonstile_INCLUDE="$PWD/review/harness-3/defer.cmake"
cmake --build target/review-3 -j8 --target review3

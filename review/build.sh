#!/bin/sh
# Builds the stand-ins and the cases into target/review, with the packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF \
    -DCMAKE_PROJECT_persimmonstile_INCLUDE="$PWD/review/targets.cmake"
cmake --build target/review -j8 --target review-case

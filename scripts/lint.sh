#!/bin/sh
# Runs clang-tidy on every translation unit of the project, with the build directory as the first
# argument and the number of parallel jobs as the second.
set -eu
git ls-files 'state/*.cpp' 'coordination/*.cpp' 'protocol/*.cpp' 'transport/*.cpp' 'standins/*.cpp' \
    'daemon/*.cpp' 'cli/*.cpp' 'platform/*.cpp' 'soak/*.cpp' | xargs -P "$2" -n 1 clang-tidy --quiet -p "$1"

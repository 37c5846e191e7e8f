#!/bin/sh
# Runs the program of one case: run_case-2.sh NUMBER. The record goes into the folder of the case.
set -eu
number=$1
cd "$(dirname "$0")/.." || exit 2
program=target/review-2/bin/review-case-$number
if [ ! -x "$program" ] || [ ! -x target/bin/persimmonstiled ]; then
    echo "build the deploy file and review/build-2.sh first" >&2
    exit 2
fi
# Without a folder for settings and logs the case cannot run.
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
code=0
"$program" target/bin "review/$number/record.txt" "$work" || code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac

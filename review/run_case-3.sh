#!/bin/sh
# Plays one of the cases 11 to 15, whose number is the argument, with the program of the deploy file. TROUBLE=0
# leaves out the disruption. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
folder=$root/review/$1
daemon=$root/target/bin/persimmonstiled
player=$root/target/review-3/bin/review3
if [ ! -x "$daemon" ] || [ ! -x "$player" ]; then
    echo "build the deploy file's target and review/build-3.sh first" >&2
    exit 2
fi
touch "$folder/record.txt" || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "${work:?}"' EXIT
cd "$root" || exit 2
code=0
timeout 115 "$player" "$1" "$daemon" "$work" "$folder/record.txt" "${TROUBLE:-1}" || code=$?
if [ "$code" -gt 2 ]; then
    code=2
fi
exit "$code"

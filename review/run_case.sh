#!/bin/sh
# Plays one case with the program of the deploy file. Arguments: name of the case, folder of the case.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
set -eu
name=$1
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
if [ ! -x "$root/target/bin/persimmonstiled" ] || [ ! -x "$root/target/review/bin/review-case" ]; then
    echo "build the deploy file's target and review/build.sh first" >&2
    exit 2
fi
touch "$folder/record.txt" || exit 2
work=$(mktemp -d) || exit 2
code=0
timeout 120 "$root/target/review/bin/review-case" "$name" "$root/target/bin" "$work" "$folder/record.txt" ||
    code=$?
if [ "$code" -gt 2 ]; then
    code=2
fi
if [ -n "${KEEP_LOGS:-}" ]; then
    echo "logs are in $work" >&2
else
    rm -rf "${work:?}" || true
fi
exit "$code"

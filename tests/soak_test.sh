#!/bin/sh
# Guards against broken promises under faults: a short run of the fault soak with one seed, on real processes.
# Longer runs and other seeds are played by scripts/soak.sh. Usage: tests/soak_test.sh BUILD_DIR
set -eu
build=$(cd "$1" && pwd)
work=$(mktemp -d)

finish() {
    code=$?
    if [ "$code" -eq 0 ]; then
        rm -rf "$work"
    else
        echo "the soak failed; logs are in $work"
    fi
    exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

"$build/bin/persimmonstile-soak" --programs "$build/bin" --work "$work/nodes" --seed 20261212 --rounds 1 \
    --storm-ms 8000 --calm-ms 4000 --rate 40 --fault-rate 2.5 >"$work/report" 2>&1 || {
    cat "$work/report"
    exit 1
}
grep '^seed' "$work/report"

#!/bin/sh
# Plays the fault soak with several seeds and prints one line for each; the logs of a failed seed are kept.
# Usage: scripts/soak.sh BUILD_DIR --regression [JOBS]
#        scripts/soak.sh BUILD_DIR FIRST_SEED COUNT [JOBS]
# Exit code 0 only if every promise was kept with every seed.
set -eu
build=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
if [ "$2" = --regression ]; then
    seeds=$(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' "$root/soak/regression_seeds.txt")
    jobs=${3:-1}
else
    seeds=$(seq "$2" $(($2 + $3 - 1)))
    jobs=${4:-1}
fi
work=$(mktemp -d)

# Run by xargs for each seed. The directory of a seed is removed when all promises were kept.
export build work
play='
    seed=$1
    mkdir "$work/$seed"
    if "$build/bin/persimmonstile-soak" --programs "$build/bin" --work "$work/$seed/nodes" --seed "$seed" \
        >"$work/$seed/report" 2>&1; then
        grep "^seed $seed:" "$work/$seed/report"
        rm -rf "${work:?}/$seed"
    else
        grep -e "^seed $seed:" -e BROKEN -e "^persimmonstile-soak" "$work/$seed/report" || true
        echo "seed $seed FAILED; report and logs are in $work/$seed"
        exit 1
    fi
'
# shellcheck disable=SC2086 # the list is split into words on purpose
if printf '%s\n' $seeds | xargs -P "$jobs" -I{} sh -c "$play" soak {}; then
    rmdir "$work"
else
    exit 1
fi

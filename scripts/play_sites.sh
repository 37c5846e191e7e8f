#!/bin/sh
# Scores the deployments of the milestone on the users' bench: the program as the first argument, the folder
# of the site files as the second. Ends with an error if a gate fails. A day of the large site is 295
# processes, so it is played alone.
set -eu
bench=$1
sites=$2
why=${WHY:-"regression run of the milestone's sites"}
failed=0

# Plays one site with this number of days at a time and checks its gate.
play() {
    log=$(mktemp)
    "$bench" score "$sites/$1" --jobs "$2" --why "$why" >"$log" 2>&1 || true
    grep -E '^score on|^GATE' "$log" || true
    if ! grep -q '^GATE passed' "$log"; then
        echo "$1: gate not passed, see $log" >&2
        failed=1
        return
    fi
    rm -f "$log"
}

play further/agcg-reservas.toml 4
play further-grown/agcg-reservas-grown.toml 2
play large/hangerloop-guj-large.toml 1
exit "$failed"

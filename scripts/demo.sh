#!/bin/sh
# Runs an example deployment on this machine, submits jobs at all of its entries and stops it again.
# Usage: scripts/demo.sh BUILD_DIR [EXAMPLE_DIR]. Exit code 0 only if every job was complete, no task started
# twice and every process ended orderly.
set -eu
build=$(cd "$1" && pwd)
example=$(cd "${2:-$(dirname "$0")/../examples/hangerloop}" && pwd)
work=$(mktemp -d)
. "$(dirname "$0")/processes.sh"

jobs_per_entry=4
tasks_per_job=40
ready_limit=30
stop_limit=45

finish() {
    code=$?
    kill_processes
    if [ "$code" -ne 0 ]; then
        show_logs
        echo "demo failed; logs are in $work"
    else
        rm -rf "$work"
    fi
    exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

tool=$build/bin/persimmonstile
daemon=$build/bin/persimmonstiled
cell=$(string_setting cell "$example/entries/entry-1.json")
service=$(sed -n 's/.*"service": "\([^"]*\)".*/\1/p' "$example/workload.json")
store=$(sed -n 's/.*"\(http:\/\/127.0.0.1:[0-9]*\)".*/\1/p' "$example/entries/entry-1.json")

# server_field KEY LINE: value of a field of one line of backend_servers.json.
server_field() {
    echo "$2" | sed -n 's/.*"'"$1"'": "\{0,1\}\([^",}]*\).*/\1/p'
}

start_backend_servers() {
    grep '"name"' "$example/backend_servers.json" >"$work/servers"
    while read -r line; do
        name=$(server_field name "$line")
        start_process "$name" "$tool" standin backend --name "$name" --port "$(server_field port "$line")" \
            --agent "$(server_field agent "$line")" --service "$service" --slots "$(server_field slots "$line")" \
            --connections "$(server_field connections "$line")" --speed "$(server_field speed "$line")" \
            --start-log "$work/$name.starts"
        backends="$backends $name"
    done <"$work/servers"
}

start_daemons() {
    for settings in "$example/entries/"*.json "$example/agents/"*.json; do
        name=$(basename "$settings" .json)
        start_process "$name" "$daemon" --settings "$settings"
        daemons="$daemons $name"
        if [ "$(string_setting role "$settings")" = entry ]; then
            entries="$entries http://$(string_setting http_address "$settings")"
        fi
    done
}

submit_jobs() {
    for entry in $entries; do
        number=0
        while [ "$number" -lt "$jobs_per_entry" ]; do
            number=$((number + 1))
            total=$((total + 1))
            "$tool" submit --entry "$entry" --service "$service" --tasks "$tasks_per_job" --run-ms 200 \
                --team "$team" && complete=$((complete + 1))
        done
    done
}

backends="" daemons="" entries="" total=0 complete=0
team=$(sed -n 's/.*"teams": \["\([^"]*\)".*/\1/p' "$example/fleet/fleet.json")
[ -n "$team" ] || team=$(sed -n '/"teams"/{n;s/.*"\([^"]*\)".*/\1/p;}' "$example/fleet/fleet.json")

start_process store "$tool" standin store --port "${store##*:}"
wait_until "$ready_limit" "the store" curl -s -m 1 --noproxy '*' "$store/"
start_backend_servers
start_daemons
"$tool" apply "$example/fleet" --store "$store" --cell "$cell" --author demo --reason "first configuration"
for entry in $entries; do
    wait_until "$ready_limit" "$entry/readyz" curl -sf -m 1 --noproxy '*' "$entry/readyz"
done
submit_jobs
# shellcheck disable=SC2086 # the lists are split into words on purpose
stop_processes "$stop_limit" $daemons $backends store

doubles=$(started_twice "$work"/*.starts)
starts=$(cat "$work"/*.starts | wc -l)
echo "jobs complete: $complete of $total; task starts: $starts of $((total * tasks_per_job)); started twice:" \
    "$(echo "$doubles" | grep -c . || true)"
[ "$complete" -eq "$total" ] && [ "$starts" -eq $((total * tasks_per_job)) ] && [ -z "$doubles" ]

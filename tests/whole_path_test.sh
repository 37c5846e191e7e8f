#!/bin/sh
# Guards against a deployment whose parts work alone and not together: real processes, one large job, and a
# graceful shutdown with a request in progress. Usage: tests/whole_path.sh BUILD_DIR
set -eu
build=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
. "$root/scripts/processes.sh"

tasks=560
ready_limit=30
stop_limit=45
# Ports depend on the process id, so that runs in several work trees do not meet.
base=$((20000 + ($$ % 600) * 16))

finish() {
    code=$?
    kill_processes
    if [ "$code" -ne 0 ]; then
        show_logs
    fi
    rm -rf "$work"
    exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
    echo "FAILED: $1" >&2
    exit 1
}

tool=$build/bin/persimmonstile
daemon=$build/bin/persimmonstiled
store=http://127.0.0.1:$base
peers=127.0.0.1:$((base + 4)),127.0.0.1:$((base + 5)),127.0.0.1:$((base + 6))

mkdir "$work/fleet"
cat >"$work/fleet/fleet.json" <<'END'
{"zones": ["north", "east", "south"], "services": [{"name": "forms"}], "teams": ["counter"]}
END
echo '[]' >"$work/fleet/exceptions.json"

start_process store "$tool" standin store --port "$base"
wait_until "$ready_limit" "the store" curl -s -m 1 --noproxy '*' "$store/"

daemons="" backends="" number=0
for zone in north east south; do
    number=$((number + 1))
    start_process "entry-$number" "$daemon" --role entry --name "entry-$number" --zone "$zone" --rack "$zone-r1" \
        --http-address "127.0.0.1:$((base + number))" --peer-address "127.0.0.1:$((base + 3 + number))" \
        --store-endpoints "$store" --peers "$peers"
    start_process "agent-$number" "$daemon" --role agent --name "agent-$number" --zone "$zone" --rack "$zone-r1" \
        --http-address "127.0.0.1:$((base + 6 + number))" --peers "$peers"
    start_process "backend-$number" "$tool" standin backend --name "backend-$number" --port $((base + 9 + number)) \
        --agent "http://127.0.0.1:$((base + 6 + number))" --service forms --speed "$number" \
        --start-log "$work/backend-$number.starts"
    daemons="$daemons entry-$number agent-$number"
    backends="$backends backend-$number"
done
"$tool" apply "$work/fleet" --store "$store" --cell default --author test --reason "whole path test"
for number in 1 2 3; do
    entry=http://127.0.0.1:$((base + number))
    wait_until "$ready_limit" "$entry/readyz" curl -sf -m 1 --noproxy '*' "$entry/readyz"
done

# One job of the largest size; its answers must come back whole and in task order.
seq 0 $((tasks - 1)) | sed 's/.*/{"number":&,"run_ms":20}/' | paste -sd, | sed 's/.*/[&]/' >"$work/tasks"
echo "{\"service\":\"forms\",\"team\":\"counter\",\"tasks\":$(cat "$work/tasks")}" >"$work/job"
status=$(curl -s -m 60 --noproxy '*' -X PUT -H 'Content-Type: application/json' -H 'Expect:' \
    --data-binary "@$work/job" -o "$work/outcome" -w '%{http_code}' \
    "http://127.0.0.1:$((base + 1))/v1/jobs/whole-path?wait_ms=50000") || true
[ "$status" = 200 ] || fail "the job was answered with $status: $(head -c 400 "$work/outcome" 2>/dev/null)"
grep -o '"number":[0-9]*' "$work/outcome" | cut -d: -f2 >"$work/order"
seq 0 $((tasks - 1)) | cmp -s - "$work/order" || fail "the answers are not complete and in task order"
[ "$(cat "$work"/*.starts | wc -l)" -eq "$tasks" ] || fail "not every task started exactly once"
[ -z "$(started_twice "$work"/*.starts)" ] || fail "tasks started twice: $(started_twice "$work"/*.starts)"

# A request is running while every process but the store is told to stop.
curl -s -m 60 --noproxy '*' -X PUT -H 'Content-Type: application/json' \
    -d '{"service":"forms","method":"file","body":{"number":7777,"run_ms":6000}}' \
    -o "$work/request" -w '%{http_code}' "http://127.0.0.1:$((base + 2))/v1/requests/in-progress?wait_ms=50000" \
    >"$work/request.status" &
request=$!
is_request_started() { grep -q 'in-progress' "$work"/*.starts; }
wait_until "$ready_limit" "the start of the request" is_request_started
# shellcheck disable=SC2086 # the lists are split into words on purpose
stop_processes "$stop_limit" $daemons $backends || fail "not every process ended orderly"
wait "$request" || fail "the request in progress got no answer"
[ "$(cat "$work/request.status")" = 200 ] ||
    fail "the request in progress was answered with $(cat "$work/request.status"): $(cat "$work/request")"
grep -q '"number":7777' "$work/request" || fail "the request in progress got another answer: $(cat "$work/request")"
stop_processes "$stop_limit" store || fail "the store did not end orderly"
echo "whole path: $tasks answers in order, request in progress answered"

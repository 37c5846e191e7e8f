#!/bin/sh
# Guards against clients that make a process run out of memory or descriptors, on every listening socket: bodies
# far over the limit, bodies in large or one-byte chunks that never end, connections that send nothing or half a
# head, and frames that never end. The process must live, stay under the bounds below, and answer one ordinary
# request while the crowd is still connected. Usage: tests/input_limits_test.sh BUILD_DIR [NAME...]
# NAME is one of: callers ready metrics peers registration agent_metrics own own_peers own_agent
set -eu
build=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
shift
chosen=${*:-callers ready metrics peers registration agent_metrics own own_peers own_agent}
work=$(mktemp -d)
. "$root/scripts/processes.sh"

# The smallest entry has 120 MB, an agent 128 MB.
memory_bound_kb=120000
# Descriptors of a daemon in this test, and how many of them may be in use beside a crowd. The remainder is for
# the store, peers and backend servers.
descriptors=400
descriptor_bound=370
silent_connections=500
sending_connections=60
frame_connections=16
ready_limit=30
settle_limit=60

daemon=$build/bin/persimmonstiled
flood=$build/bin/input_flood
network=127.$((60 + $$ % 150)).$((1 + $$ / 150 % 250))
store=$network.1:8169
failures=0

finish() {
    code=$?
    kill_processes
    rm -rf "$work"
    exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

write_settings() {
    cat >"$work/entry.json" <<EOF
{"role": "entry", "deployment": "hangerloop", "name": "e1", "zone": "z1", "http_address": "$network.2:8161",
 "ready_address": "$network.2:8167", "peer_address": "$network.2:7720", "metrics_address": "$network.2:9464",
 "store_endpoints": ["http://$store"], "peer_port": 7720}
EOF
    cat >"$work/agent.json" <<EOF
{"role": "agent", "deployment": "hangerloop", "name": "a1", "zone": "z1", "http_address": "$network.3:8166",
 "metrics_address": "$network.3:9464", "backend_address": "$network.4:8165",
 "store_endpoints": ["http://$store"], "seeds": ["$network.2:8166"], "peer_port": 7720}
EOF
    cat >"$work/own_entry.json" <<EOF
{"role": "entry", "name": "e2", "zone": "z1", "http_address": "$network.5:8161",
 "peer_address": "$network.5:7720", "store_endpoints": ["http://$network.6:8169"]}
EOF
    cat >"$work/own_agent.json" <<EOF
{"role": "agent", "name": "a2", "zone": "z1", "http_address": "$network.7:8161", "peers": ["$network.5:7720"]}
EOF
}

# status_of URL [CURL OPTION...]
status_of() {
    url=$1
    shift
    curl -s -m 10 --noproxy '*' -o "$work/answer" -w '%{http_code}' "$@" "http://$url" || true
}

# is_answered STATUS URL: an ordinary request gets this status.
is_answered() { [ "$(status_of "$2" -H 'Host: short.example')" = "$1" ]; }

start_daemon() {
    (
        ulimit -n "$descriptors"
        exec "$daemon" --settings "$work/$process.json"
    ) >"$work/$process.log" 2>&1 &
    echo $! >"$work/$process.pid"
    case " $process_names " in *" $process "*) ;; *) process_names="$process_names $process" ;; esac
    wait_until "$ready_limit" "$process" is_answered "$expected" "$ordinary"
}

end_daemon() {
    signal_process "$process" KILL
    wait "$(cat "$work/$process.pid")" 2>/dev/null || true
    rm -f "$work/$process.pid"
}

report() {
    failures=$((failures + 1))
    is_case_failed=1
    echo "FAILED: $name, $kind: $1"
}

# play KIND COUNT ADDRESS TARGET BYTES
play() {
    kind=$1 is_case_failed=0
    if [ ! -e "$work/$process.pid" ]; then
        start_daemon
    fi
    pid=$(cat "$work/$process.pid")
    start_process crowd "$flood" crowd "$kind" "$3" "$2" "$4" "$5"
    wait_until "$settle_limit" "the crowd" grep -q settled "$work/crowd.log" || report "the crowd did not settle"
    if is_ended "$pid"; then
        report "the process ended"
    else
        memory=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status")
        open=$(find "/proc/$pid/fd" -mindepth 1 | wc -l)
        [ "$memory" -le "$memory_bound_kb" ] || report "resident memory was $memory kB"
        [ "$open" -le "$descriptor_bound" ] || report "$open descriptors are open"
        wait_until "$ready_limit" "an answer" is_answered "$expected" "$ordinary" ||
            report "an ordinary request was not answered"
        echo "$name, $kind: $memory kB, $open descriptors"
    fi
    signal_process crowd KILL
    wait "$(cat "$work/crowd.pid")" 2>/dev/null || true
    # A failed case must not hide the result of the next one.
    if [ "$is_case_failed" -eq 1 ]; then
        end_daemon
    fi
}

# play_http ADDRESS TARGET BYTES: BYTES is just below the limit on bodies.
play_http() {
    play announced "$sending_connections" "$1" "$2" 8000000
    play endless "$sending_connections" "$1" "$2" 8000000
    play large_chunks "$sending_connections" "$1" "$2" "$3"
    play small_chunks "$sending_connections" "$1" "$2" 262144
    play silent "$silent_connections" "$1" "$2" 0
    play slow_head "$silent_connections" "$1" "$2" 0
}

# play_frames ADDRESS
play_frames() {
    play frames "$frame_connections" "$1" - 15000000
    play silent "$silent_connections" "$1" - 0
}

write_settings
start_process store "$flood" store "$store"
wait_until "$ready_limit" "the store" curl -s -m 1 --noproxy '*' "http://$store/"

for name in $chosen; do
    expected=200
    case $name in
    callers) process=entry ordinary=$network.2:8161/short/ ;;
    ready) process=entry ordinary=$network.2:8167/ready ;;
    metrics | peers) process=entry ordinary=$network.2:9464/metrics ;;
    registration) process=agent ordinary=$network.3:8166/other expected=404 ;;
    agent_metrics) process=agent ordinary=$network.3:9464/metrics ;;
    own | own_peers) process=own_entry ordinary=$network.5:8161/healthz ;;
    own_agent) process=own_agent ordinary=$network.7:8161/healthz ;;
    esac
    case $name in
    callers) play_http "$network.2:8161" "POST /short/0123456789abcdef" 1040000 ;;
    ready) play_http "$network.2:8167" "POST /ready" 1040000 ;;
    metrics) play_http "$network.2:9464" "POST /metrics" 1040000 ;;
    peers) play_frames "$network.2:7720" ;;
    registration) play_http "$network.3:8166" "PUT /executors/x" 1040000 ;;
    agent_metrics) play_http "$network.3:9464" "POST /metrics" 1040000 ;;
    own) play_http "$network.5:8161" "PUT /v1/jobs/x" 4190000 ;;
    own_peers) play_frames "$network.5:7720" ;;
    own_agent) play_http "$network.7:8161" "PUT /v1/x" 65000 ;;
    esac
    if [ -e "$work/$process.pid" ]; then
        end_daemon
    fi
done
[ "$failures" -eq 0 ] || {
    echo "$failures failures" >&2
    exit 1
}

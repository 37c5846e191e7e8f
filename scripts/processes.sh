# Functions for scripts that run real processes. Source it after setting work to an empty directory.
# Each process gets a name, the log $work/NAME.log and the file $work/NAME.pid.
# shellcheck shell=sh

process_names=""

# start_process NAME COMMAND...
start_process() {
    process_name=$1
    shift
    "$@" >"$work/$process_name.log" 2>&1 &
    echo $! >"$work/$process_name.pid"
    process_names="$process_names $process_name"
}

# wait_until SECONDS WHAT COMMAND...: repeats the command until it succeeds; reports WHAT if it never does.
wait_until() {
    wait_limit=$(($(date +%s) + $1))
    wait_subject=$2
    shift 2
    until "$@" >"$work/wait.out" 2>&1; do
        if [ "$(date +%s)" -ge "$wait_limit" ]; then
            echo "gave up waiting for $wait_subject; last output:" >&2
            tail -n 5 "$work/wait.out" >&2
            return 1
        fi
        sleep 0.1
    done
}

# is_ended PID. A process that has ended and was not waited for is a zombie.
is_ended() {
    [ ! -e "/proc/$1/stat" ] || grep -q '^State:.Z' "/proc/$1/status" 2>/dev/null
}

# signal_process NAME SIGNAL
signal_process() {
    kill -s "$2" "$(cat "$work/$1.pid")" 2>/dev/null || true
}

# await_end NAME SECONDS: waits for the end after a signal; fails if it lasts too long or the exit code is not 0.
await_end() {
    end_pid=$(cat "$work/$1.pid")
    if ! wait_until "$2" "the end of $1" is_ended "$end_pid"; then
        kill -s KILL "$end_pid" 2>/dev/null || true
        wait "$end_pid" 2>/dev/null || true
        return 1
    fi
    end_code=0
    wait "$end_pid" 2>/dev/null || end_code=$?
    rm -f "$work/$1.pid"
    if [ "$end_code" -ne 0 ]; then
        echo "$1 ended with exit code $end_code" >&2
        return 1
    fi
}

# stop_processes SECONDS NAME...: SIGTERM to all, then waits for each. Fails if one did not end with code 0.
stop_processes() {
    stop_limit=$1
    shift
    stop_result=0
    for stop_name in "$@"; do
        signal_process "$stop_name" TERM
    done
    for stop_name in "$@"; do
        await_end "$stop_name" "$stop_limit" || stop_result=1
    done
    return "$stop_result"
}

# Ends whatever this script started and has not stopped, for use in a trap.
kill_processes() {
    for kill_name in $process_names; do
        if [ -e "$work/$kill_name.pid" ]; then
            signal_process "$kill_name" KILL
        fi
    done
}

# show_logs: the last lines of every log, for a failed run.
show_logs() {
    for show_name in $process_names; do
        echo "--- $show_name"
        tail -n 8 "$work/$show_name.log"
    done
}

# started_twice FILE...: ids of tasks that occur more than once in the start logs.
started_twice() {
    sed -n 's/.*"task":"\([^"]*\)".*/\1/p' "$@" | sort | uniq -d
}

# string_setting KEY FILE: value of a string setting of a settings file with one setting per line.
string_setting() {
    sed -n 's/^ *"'"$1"'": "\([^"]*\)".*/\1/p' "$2"
}

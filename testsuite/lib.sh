# Shared functions of the end-to-end cases. A case sources this file, starts processes with `start`, and calls
# `finish` with a summary. All processes are ended by their ids on exit.
set -euo pipefail

bin=$1
work=$(mktemp -d)
pids=()
failures=0

cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    if [ "$failures" -eq 0 ]; then rm -rf "$work"; else echo "kept logs in $work"; fi
}
trap cleanup EXIT

# start NAME PROGRAM ARGS...: runs a program with its output in $work/NAME.log; its id is left in $last_pid.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    last_pid=$!
    pids+=("$last_pid")
}

# wait_until SECONDS DESCRIPTION COMMAND...: repeats the command until it succeeds.
wait_until() {
    local seconds=$1 what=$2
    shift 2
    local deadline=$((SECONDS + seconds))
    until "$@" >/dev/null 2>&1; do
        if [ $SECONDS -ge $deadline ]; then
            echo "timed out after ${seconds}s: $what"
            failures=$((failures + 1))
            return 1
        fi
        sleep 0.1
    done
}

# check DESCRIPTION COMMAND...: counts a failure when the command fails.
check() {
    local what=$1
    shift
    if "$@"; then echo "ok: $what"; else
        echo "FAILED: $what"
        failures=$((failures + 1))
    fi
}

finish() {
    [ "$failures" -eq 0 ] && echo "passed" && exit 0
    echo "$failures checks failed"
    exit 1
}

secret=end-to-end-test-key

# write_balancer NAME DOMAIN PORT HTTP_PORT PLATFORM_PORT [ACCEPT]
write_balancer() {
    cat >"$work/$1.yaml" <<YAML
name: $1
region: is-sudvestur
domain: $2
listen: 127.0.0.1:$3
http: 127.0.0.1:$4
platform: 127.0.0.1:$5
keys: {current-id: 1, current-secret: $secret}
accept: [${6:-}]
YAML
}

# write_agent NAME DOMAIN PORT HTTP_PORT PLATFORM_PORT SERVICE UPSTREAM_PORT SLOTS
write_agent() {
    cat >"$work/$1.yaml" <<YAML
name: $1
region: is-sudvestur
domain: $2
listen: 127.0.0.1:$3
http: 127.0.0.1:$4
platform: 127.0.0.1:$5
keys: {current-id: 1, current-secret: $secret}
service: $6
upstream: 127.0.0.1:$7
slots: $8
connections: 2000
YAML
}

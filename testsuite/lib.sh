# Shared functions of the end-to-end cases. A case sources this file, starts processes with `start`, and calls
# `finish` with a summary. On exit all processes are ended by their process ids.
set -euo pipefail

bin=$1
work=$(mktemp -d)
pids=()
declare -A pid_of
failures=0

cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    if [ "$failures" -eq 0 ]; then rm -rf "$work"; else echo "kept logs in $work"; fi
}
trap cleanup EXIT

# start NAME PROGRAM ARGS...: runs a program with its output in $work/NAME.log; sets $last_pid to its process id.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    last_pid=$!
    pids+=("$last_pid")
    pid_of[$name]=$last_pid
}

# wait_until SECONDS DESCRIPTION COMMAND...: repeats the command until it succeeds; a timeout counts as a failure.
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

# check DESCRIPTION COMMAND...: runs the command once; an error counts as a failure.
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

# write_node NAME DOMAIN PORT HTTP_PORT PLATFORM_PORT: writes the settings that balancer and agent share.
write_node() {
    cat >"$work/$1.yaml" <<YAML
name: $1
region: is-sudvestur
domain: $2
listen: 127.0.0.1:$3
http: 127.0.0.1:$4
platform: 127.0.0.1:$5
keys: {current-id: 1, current-secret: $secret}
YAML
}

# write_balancer NAME DOMAIN PORT HTTP_PORT PLATFORM_PORT [ACCEPT]
write_balancer() {
    write_node "$@"
    echo "accept: [${6:-}]" >>"$work/$1.yaml"
}

# write_agent NAME DOMAIN PORT HTTP_PORT PLATFORM_PORT SERVICE UPSTREAM_PORT SLOTS
write_agent() {
    write_node "$@"
    cat >>"$work/$1.yaml" <<YAML
service: $6
upstream: 127.0.0.1:$7
slots: $8
connections: 2000
YAML
}

# tell PROCESS_NAME SIGNAL: sends a signal to a process started by `start`.
tell() { kill "-$2" "${pid_of[$1]}"; }

# http PORT PATH: prints the response body of a GET request to a node's HTTP port.
http() { curl -sf -m 3 "http://127.0.0.1:$1$2"; }

# knows_members PORT COUNT: succeeds if the node reaches COUNT other members.
knows_members() { http "$1" /status | grep -q "\"members_reachable\":$2,"; }

# start_fleet BASE: platform, 3 upstreams of service bokunarkerfi with agents, 3 balancers, fabric. Ports are
# BASE (fabric), BASE+1 (platform), BASE+11.. (upstreams), +21.. (agents), +31.. (agents' HTTP), +41.. (balancers),
# +51.. (balancers' HTTP).
start_fleet() {
    local base=$1 i
    local domains=(rvk-a rvk-b hfj-c)
    start platform "$bin/standin-platform" --listen "127.0.0.1:$((base + 1))"
    for i in 1 2 3; do
        start "up$i" "$bin/standin-upstream" --listen "127.0.0.1:$((base + 10 + i))" --service bokunarkerfi \
            --slots 7 --connections 2000 --work-ms 0
        write_agent "a$i" "${domains[$((i - 1))]}" $((base + 20 + i)) $((base + 30 + i)) $((base + 1)) bokunarkerfi \
            $((base + 10 + i)) 7
        start "a$i" "$bin/citroncrank-agent" --settings "$work/a$i.yaml"
        write_balancer "b$i" "${domains[$((i - 1))]}" $((base + 40 + i)) $((base + 50 + i)) $((base + 1)) "${accept:-}"
        start "b$i" "$bin/citroncrank-balancer" --settings "$work/b$i.yaml"
    done
    start fabric "$bin/standin-fabric" --listen "127.0.0.1:$base,service=bokunarkerfi,class=normal,kind=request" \
        --balancer "127.0.0.1:$((base + 41))" --balancer "127.0.0.1:$((base + 42))" \
        --balancer "127.0.0.1:$((base + 43))" --key "$secret"
    for i in 1 2 3; do
        wait_until 30 "balancer b$i to know all members" knows_members $((base + 50 + i)) 5
        wait_until 30 "agent a$i to be ready" http $((base + 30 + i)) /ready
    done
    wait_until 10 "a first answer" curl -sf -m 5 -o /dev/null "http://127.0.0.1:$base/bytes/10?seed=1"
}

#!/usr/bin/env bash
# Measures real processes on loopback over three paths: direct to an upstream, through a balancer's own TCP listener,
# and through a spraying fabric with three balancers. One run interleaves them, so that other load of the machine
# affects all three alike.
# Usage: scripts/bench-process.sh [BIN_FOLDER]   (default: build/bin). Rounds: ROUNDS (default 3).
cd "$(dirname "$0")/.."
source testsuite/lib.sh "${1:-build/bin}"

# An aborted run leaves open sessions, for which a graceful stop waits. Processes that have not ended after 5 s are
# killed by their process ids, so that they do not occupy the ports of the next run.
end_processes() {
    local pid deadline=$((SECONDS + 5))
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do
        while [ $SECONDS -lt $deadline ] && kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
        kill -KILL "$pid" 2>/dev/null || true
    done
    cleanup
}
trap end_processes EXIT

base=${BASE_PORT:-27000}
rounds=${ROUNDS:-3}
service=bokunarkerfi
platform=$((base + 1))
upstream=$((base + 2))
# Paths: direct to the upstream, the balancer b4 as the edge, the fabric in front of b1 to b3.
declare -A target=([direct]=127.0.0.1:$upstream [balancer]=127.0.0.1:$((base + 3)) [fabric]=127.0.0.1:$((base + 4)))
paths=(direct balancer fabric)
sessions_balancer=127.0.0.1:$((base + 5))
sessions_fabric=127.0.0.1:$((base + 6))
declare -A http_port=([a1]=$((base + 31)) [b1]=$((base + 51)) [b2]=$((base + 52)) [b3]=$((base + 53)) [b4]=$((base + 54)))
nodes=(a1 b1 b2 b3 b4)
ticks=$(getconf CLK_TCK)

configure() {
    cat >"$work/config.yaml" <<YAML
revision: 0
defaults:
  admission.warm-up: 0s
services:
  - name: $service
    addresses:
      - {address: "${target[balancer]}", class: normal, kind: request, deadline: 10s}
      - {address: "$sessions_balancer", class: normal, kind: session, deadline: 10s}
YAML
    "$bin/citroncrank" --platform "127.0.0.1:$platform" --author bench config set --file "$work/config.yaml" \
        --reason "addresses of the benchmark" >/dev/null
}

# accepts ADDRESS: succeeds if a process listens at the address.
accepts() { (exec 3<>"/dev/tcp/${1%:*}/${1#*:}"); }

start_processes() {
    local i
    start platform "$bin/standin-platform" --listen "127.0.0.1:$platform"
    wait_until 10 "the platform to listen" accepts "127.0.0.1:$platform"
    configure
    start up "$bin/standin-upstream" --listen "127.0.0.1:$upstream" --service $service --slots 2000 \
        --connections 4000 --work-ms 0
    write_agent a1 rvk-a $((base + 21)) ${http_port[a1]} $platform $service $upstream 2000
    sed -i 's/^connections: .*/connections: 4000/' "$work/a1.yaml"
    start a1 "$bin/citroncrank-agent" --settings "$work/a1.yaml"
    for i in 1 2 3 4; do
        local accept=
        [ $i -ne 4 ] || accept="${target[balancer]}, $sessions_balancer"
        write_balancer b$i rvk-a $((base + 40 + i)) "${http_port[b$i]}" $platform "$accept"
        start b$i "$bin/citroncrank-balancer" --settings "$work/b$i.yaml"
    done
    start fabric "$bin/standin-fabric" --listen "${target[fabric]},service=$service,class=normal,kind=request" \
        --listen "$sessions_fabric,service=$service,class=normal,kind=session" \
        --balancer "127.0.0.1:$((base + 41))" --balancer "127.0.0.1:$((base + 42))" \
        --balancer "127.0.0.1:$((base + 43))" --key "$secret"
    for i in "${nodes[@]}"; do
        wait_until 30 "$i to know all members" knows_members "${http_port[$i]}" 4
    done
    for i in "${paths[@]}"; do
        wait_until 30 "an answer on path $i" curl -sf -m 5 -o /dev/null "http://${target[$i]}/bytes/10?seed=1"
    done
}

# metric NODE NAME: prints the sum over all label sets.
metric() { http "${http_port[$1]}" /metrics | awk -v n="citroncrank_$2" '$1 == n || index($1, n "{") == 1 {s += $2} END {printf "%.0f", s}'; }

frames() { echo $(($(metric "$1" frames_in) + $(metric "$1" frames_out))); }

cpu_ticks() { sed 's/.*) //' "/proc/${pid_of[$1]}/stat" | awk '{print $12 + $13}'; }

rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/${pid_of[$1]}/status"; }

# median VALUES...
median() { printf '%s\n' "$@" | sort -g | awk '{v[NR] = $1} END {print NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2}'; }

# field TEXT NAME: prints the value of NAME=VALUE.
field() { sed -E "s/.*\b$2=([0-9.]+).*/\1/" <<<"$1"; }

row() { printf '| %-46s | %12s | %12s | %12s | %-28s |\n' "$@" >>"$work/table"; }

verdict() { awk -v v="$1" -v op="$2" -v t="$3" 'BEGIN {ok = op == "<" ? v < t : v >= t; print ok ? "met" : "missed"}'; }

# Memory is measured before other load: sessions would reuse heap pages that the load freed, which hides their growth.
declare -A rss_at
hold() {
    start "hold$2" "$bin/process-bench" --hold --target "$1" --requests "$3" --concurrency 32 --timeout 120 \
        --path "/stream?interval_ms=60000&count=0"
    held+=("hold$2")
    wait_until 60 "$3 sessions to open" grep -q "open=$3 failed=0" "$work/hold$2.log"
    sleep 3
}

# measure_memory PATH ADDRESS NODES...: growth of each node's RSS with 1,000 more sessions, in bytes per session.
measure_memory() {
    local path=$1 address=$2 node
    shift 2
    held=()
    "$bin/process-bench" --target "${target[$path]}" --requests 500 --rate 500 >/dev/null || true
    hold "$address" "$path-500" 500
    for node in "$@"; do rss_at[$node]=$(rss_kb "$node"); done
    hold "$address" "$path-1500" 1000
    for node in "$@"; do memory[$path-$node]=$((($(rss_kb "$node") - rss_at[$node]) * 1024 / 1000)); done
    for node in "${held[@]}"; do tell "$node" TERM; done
    sleep 3
    echo "flows open at the agent 3 s after the callers of path $path reset their sessions: $(metric a1 flows_open)"
}

# Measures the control bytes per second of each node without flows: the nodes, all in one failure domain, then send
# membership and configuration messages only.
measure_idle() {
    local node
    declare -A before
    for node in "${nodes[@]}"; do before[$node]=$(metric "$node" membership_bytes_out); done
    sleep 10
    for node in "${nodes[@]}"; do control+=($((($(metric "$node" membership_bytes_out) - before[$node]) / 10))); done
}

declare -A p50 p99 speed highest failed cpu_spent frames_spent memory
control=()

# measure_latency ROUND: 3,000 requests at 1,000 a second on each path.
measure_latency() {
    local path node result
    for path in "${paths[@]}"; do
        declare -A cpu_before=() frames_before=()
        for node in "${nodes[@]}"; do
            cpu_before[$node]=$(cpu_ticks "$node")
            frames_before[$node]=$(frames "$node")
        done
        result=$("$bin/process-bench" --target "${target[$path]}" --requests 3000 --rate 1000 || true)
        p50[$path]+=" $(field "$result" p50_us)"
        p99[$path]+=" $(field "$result" p99_us)"
        failed[$path]=$((${failed[$path]:-0} + $(field "$result" failed)))
        for node in "${nodes[@]}"; do
            cpu_spent[$path-$node]=$((${cpu_spent[$path-$node]:-0} + $(cpu_ticks "$node") - cpu_before[$node]))
            frames_spent[$path-$node]=$((${frames_spent[$path-$node]:-0} + $(frames "$node") - frames_before[$node]))
        done
    done
}

measure_downloads() {
    local path
    for path in "${paths[@]}"; do
        speed[$path]+=" $(curl -sf -m 120 -o /dev/null -w '%{speed_download}' "http://${target[$path]}/bytes/100000000?seed=1" || true)"
    done
}

measure_highest() {
    local path result
    for path in "${paths[@]}"; do
        result=$("$bin/process-bench" --target "${target[$path]}" --requests 20000 --concurrency 256 || true)
        highest[$path]+=" $(field "$result" per_second)"
        failed[$path]=$((${failed[$path]:-0} + $(field "$result" failed)))
    done
}

# added NAME PATH: prints the median difference to the direct path over the rounds, in ms.
added() {
    local -n values=$1
    local -a direct=(${values[direct]}) through=(${values[$2]})
    local i differences=()
    for i in "${!direct[@]}"; do differences+=($((through[i] - direct[i]))); done
    median "${differences[@]}" | awk '{printf "%.2f", $1 / 1000}'
}

ms() { median $1 | awk '{printf "%.2f", $1 / 1000}'; }
ratio() { awk -v a="$(median ${speed[$1]})" -v b="$(median ${speed[direct]})" 'BEGIN {printf "%.2f", a / b}'; }
mbs() { median ${speed[$1]} | awk '{printf "%.0f", $1 / 1e6}'; }
per_frame() {
    awk -v t="${cpu_spent[$1]}" -v f="${frames_spent[$1]}" -v hz="$ticks" 'BEGIN {if (f) printf "%.1f", t / hz * 1e6 / f; else print "-"}'
}
three_balancers() {
    cpu_spent[sum]=$((cpu_spent[fabric-b1] + cpu_spent[fabric-b2] + cpu_spent[fabric-b3]))
    frames_spent[sum]=$((frames_spent[fabric-b1] + frames_spent[fabric-b2] + frames_spent[fabric-b3]))
    per_frame sum
}
both() { printf '%s, %s' "$(verdict "$1" "$3" "$4")" "$(verdict "$2" "$3" "$4")"; }

print_table() {
    local b f most
    row "figure" direct balancer fabric "target"
    row "---" ---: ---: ---: ---
    row "p50 at 1,000 requests/s (ms)" "$(ms "${p50[direct]}")" "$(ms "${p50[balancer]}")" "$(ms "${p50[fabric]}")" ""
    row "p99 at 1,000 requests/s (ms)" "$(ms "${p99[direct]}")" "$(ms "${p99[balancer]}")" "$(ms "${p99[fabric]}")" ""
    b=$(added p50 balancer) f=$(added p50 fabric)
    row "added p50 (ms)" 0 "$b" "$f" "under 1: $(both "$b" "$f" "<" 1)"
    b=$(added p99 balancer) f=$(added p99 fabric)
    row "added p99 (ms)" 0 "$b" "$f" "under 3: $(both "$b" "$f" "<" 3)"
    row "100 MB download (MB/s)" "$(mbs direct)" "$(mbs balancer)" "$(mbs fabric)" ""
    row "100 MB download, ratio to direct" 1 "$(ratio balancer)" "$(ratio fabric)" ""
    b=$(median ${highest[balancer]}) f=$(median ${highest[fabric]})
    row "highest rate of new flows (1/s)" "$(median ${highest[direct]})" "$b" "$f" "10000 (balancer): $(verdict "$b" ">=" 10000)"
    row "failed requests of all runs" "${failed[direct]}" "${failed[balancer]}" "${failed[fabric]}" "0"
    row "processor time per frame, balancer (us)" - "$(per_frame balancer-b4)" "$(three_balancers)" ""
    row "processor time per frame, agent (us)" - "$(per_frame balancer-a1)" "$(per_frame fabric-a1)" ""
    row "memory per open flow, agent (bytes)" - "${memory[balancer-a1]}" "${memory[fabric-a1]}" \
        "under 1024: $(both "${memory[balancer-a1]}" "${memory[fabric-a1]}" "<" 1024)"
    most=$(printf '%s\n' "${memory[fabric-b1]}" "${memory[fabric-b2]}" "${memory[fabric-b3]}" | sort -g | tail -1)
    row "memory per open flow, balancer (bytes)" - "${memory[balancer-b4]}" "$most" "0 (fabric): $(verdict "$most" "<" 1)"
    most=$(printf '%s\n' "${control[@]}" | sort -g | tail -1)
    row "control bytes out a second, idle, highest node" - - "$most" "under 8192: $(verdict "$most" "<" 8192)"
    cat "$work/table"
}

echo "started: $(date -u +%FT%TZ), $(uptime), $(nproc) processors, rounds=$rounds"
start_processes
measure_memory fabric "$sessions_fabric" a1 b1 b2 b3
measure_memory balancer "$sessions_balancer" a1 b4
# The processes are restarted, so that sessions of the memory measurement do not affect the other figures.
for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
pids=()
start_processes
measure_idle
for ((round = 0; round < rounds; ++round)); do
    measure_latency
    measure_downloads
    measure_highest
done
echo "ended: $(date -u +%FT%TZ), $(uptime)"
print_table
for name in p50 p99 speed highest; do
    declare -n values=$name
    for path in "${paths[@]}"; do echo "$name $path:${values[$path]}"; done
done
finish

# Functions of the cases that run the packet programs on loopback, one address per node. Sourced after lib.sh.
store=127.0.70.1:27169
source "$(dirname "${BASH_SOURCE[0]}")/../platform/standin/store.sh"
packets_port=27172
http_port=27167

# packet_settings NAME IP [SEEDS]: prints the settings that balancer and agent share. node_domain: failure domain of the
# nodes that are started next; node_extra: further lines of their settings.
packet_settings() {
    cat <<YAML
name: $1
region: is-sudvestur
domain: ${node_domain:-rvk-a}
caller-address: "127.0.77.1:$packets_port"
platform: "$store"
seeds: [${3:-127.0.71.1:27166, 127.0.71.2:27166}]
${node_extra:-}
listen:
  plane: "$2:27200"
  http: "$2:$http_port"
YAML
}

start_packet_balancer() { # N
    local ip=127.0.71.$1
    {
        packet_settings "balancer$1" "$ip"
        echo "  packets: \"$ip:$packets_port\""
    } >"$work/balancer$1.yaml"
    start "balancer$1" "$bin/citroncrank-packet-balancer" --settings "$work/balancer$1.yaml"
}

start_packet_agent() { # N SERVICE [SEEDS]
    local ip=127.0.72.$1
    {
        packet_settings "agent$1" "$ip" "${3:-}"
        cat <<YAML
  upstream-packets: "$ip:27162"
  announcements: "$ip:27166"
upstream: {address: "$ip:27188", service: "$2", announcement-period: 300ms}
YAML
    } >"$work/agent$1.yaml"
    start "agent$1" "$bin/citroncrank-packet-agent" --settings "$work/agent$1.yaml"
}

start_packet_upstream() { # N SERVICE
    local ip=127.0.72.$1
    start "upstream$1" "$bin/standin-packet-upstream" --address "$ip:27188" --agent-packets "$ip:27162" \
        --announce-to "$ip:27166" --service "$2" --id "i-$1" --slots 2 --work-ms 5
}

is_ready() { curl -sf -m 2 -o /dev/null "http://127.0.71.$1:$http_port/ready"; }
# metric IP NAME: prints the value of a node's metric, or 0 if the node does not have it.
metric() { curl -sf -m 2 "http://$1:$http_port/metrics" | awk -v n="$2" '$1 == n { v = $2 } END { print v + 0 }'; }

start_callers() { # SECONDS [OPTIONS]
    local seconds=$1
    shift
    local rotation=()
    for i in 1 2 3; do rotation+=(--balancer "127.0.71.$i:$packets_port=127.0.71.$i:$http_port"); done
    start callers "$bin/standin-packet-callers" "${rotation[@]}" --service-address 198.18.0.1:443 \
        --first-caller "${first_caller:-127.0.77.1}:$packets_port" --callers 8 --seconds "$seconds" "$@"
}

# stop_and_wait NAME SIGNAL: sends the signal to a process of this case and waits for its end.
stop_and_wait() {
    kill "-$2" "${pid_of[$1]}"
    wait "${pid_of[$1]}" 2>/dev/null || true
}

#!/usr/bin/env bash
# Installs the dependencies, builds, starts a small fleet with the sizes of the Iceland deployment on loopback, serves
# requests, applies an operator's change, prints a summary, and stops all processes. Exits non-zero if a check fails,
# for example on a lost request. With --keep the fleet is left running and the addresses are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=no
[ "${1:-}" = "--keep" ] && keep=yes
scripts/install-deps.sh
build=${BUILD_DIR:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
echo "quickstart: building"
cmake --build "$build" --target citroncrank citroncrank-agent citroncrank-balancer standin-fabric standin-platform \
    standin-upstream citroncrank-packet-agent citroncrank-packet-balancer standin-packet-upstream \
    standin-packet-callers >/dev/null
set -- "$build/bin"
source testsuite/lib.sh
if [ "$keep" = yes ]; then trap - EXIT; fi

base=${QUICKSTART_PORT:-26000}
platform=$((base + 1))
domains=(rvk-a rvk-b hfj-c)
client=("$bin/citroncrank" --platform "127.0.0.1:$platform" --author quickstart --node "127.0.0.1:$((base + 301))")

start_service() { # NAME COUNT FIRST_INDEX
    local i
    for ((i = $3; i < $3 + $2; ++i)); do
        start "upstream$i" "$bin/standin-upstream" --listen "127.0.0.1:$((base + 100 + i))" --service "$1" \
            --slots 7 --connections 2000 --work-ms 2
        write_agent "agent$i" "${domains[$((i % 3))]}" $((base + 200 + i)) $((base + 400 + i)) "$platform" "$1" \
            $((base + 100 + i)) 7
        start "agent$i" "$bin/citroncrank-agent" --settings "$work/agent$i.yaml"
    done
}

echo "quickstart: starting platform, 10 upstreams with agents, 3 balancers, fabric"
start platform "$bin/standin-platform" --listen "127.0.0.1:$platform"
wait_until 10 "the platform" curl -s -m 1 "127.0.0.1:$platform/admin/counts"
cat >"$work/config.yaml" <<YAML
services:
  - name: bokunarkerfi
    addresses:
      - {address: "127.0.0.1:$((base + 10))", class: normal, kind: request, deadline: 10s}
  - name: skjalaveita
    addresses:
      - {address: "127.0.0.1:$((base + 11))", class: bulk, kind: request, deadline: 10s}
defaults:
  admission.warm-up: 0s
YAML
"${client[@]}" config set --file "$work/config.yaml" --reason "first configuration"
for i in 1 2 3; do
    accept=""
    [ "$i" = 1 ] && accept="127.0.0.1:$((base + 10)), 127.0.0.1:$((base + 11))"
    write_balancer "balancer$i" "${domains[$((i - 1))]}" $((base + 30 + i)) $((base + 300 + i)) "$platform" "$accept"
    start "balancer$i" "$bin/citroncrank-balancer" --settings "$work/balancer$i.yaml"
done
start_service bokunarkerfi 7 1
start_service skjalaveita 3 8
start fabric "$bin/standin-fabric" \
    --listen "127.0.0.1:$base,service=bokunarkerfi,class=normal,kind=request" \
    --listen "127.0.0.1:$((base + 2)),service=skjalaveita,class=bulk,kind=request" \
    --balancer "127.0.0.1:$((base + 31))" --balancer "127.0.0.1:$((base + 32))" \
    --balancer "127.0.0.1:$((base + 33))" --key "$secret"
for i in 1 2 3; do wait_until 30 "balancer$i to know all members" knows_members $((base + 300 + i)) 12; done
for i in 1 2 3 4 5 6 7 8 9 10; do wait_until 30 "agent$i to be ready" http $((base + 400 + i)) /ready; done

echo "quickstart: 200 requests through the fabric, one balancer killed on the way"
lost=0
for ((i = 0; i < 200; ++i)); do
    if [ "$i" = 100 ]; then
        kill -KILL "${pid_of[balancer3]}"
        wait "${pid_of[balancer3]}" 2>/dev/null || true
    fi
    port=$((base + 2 * (i % 2)))
    curl -sf -m 15 -o /dev/null "http://127.0.0.1:$port/bytes/1000?seed=1&id=q$i" || lost=$((lost + 1))
done
check "200 requests answered, $lost lost" test "$lost" = 0
for p in $((base + 10)) $((base + 11)); do
    check "plain TCP caller on a service address ($p)" curl -sf -m 10 -o /dev/null "http://127.0.0.1:$p/bytes/10?seed=1"
done

echo "quickstart: an operator's change"
"${client[@]}" exception add night-limit --key admission.queue-limit --value 8 --service skjalaveita \
    --reason "visit sheets wait less at night"
in_force_everywhere() { ! "${client[@]}" status | grep -Eq 'revision 1 |lags'; }
wait_until 11 "revision 2 in force everywhere" in_force_everywhere
"${client[@]}" status || true
"${client[@]}" history
echo "quickstart: packets through the packet path, with planned changes and the store down"
if [ "$keep" = no ]; then check "packet path" testsuite/packet-path/run "$build/bin"; fi
check "no failed check" test "$failures" = 0
if [ "$keep" = yes ]; then
    echo "quickstart: left running; logs in $work; stop with: kill ${pids[*]}"
    echo "  caller:   curl http://127.0.0.1:$base/bytes/100?seed=1"
    echo "  operator: ${client[*]} status"
    [ "$failures" -eq 0 ] || exit 1
    exit 0
fi
finish

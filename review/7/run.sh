#!/usr/bin/env bash
# Case 7. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
# Needs the build of deploy/system.toml and review/build-2.sh. Takes about 20 s. Writes record.txt beside this script.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/bin/citroncrank-packet-agent ] && [ -x target/bin/citroncrank-packet-balancer ] && [ -x review/bin/small_site ] || exit 2
work=$(mktemp -d) || exit 2
child=
end() {
    [ -n "$child" ] && kill "$child" 2>/dev/null
    rm -rf "$work"
}
trap end EXIT
timeout -s TERM 100 review/bin/small_site target/bin "$work" "$folder/record.txt" "${TROUBLE:-1}" &
child=$!
wait "$child"
result=$?
child=
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac

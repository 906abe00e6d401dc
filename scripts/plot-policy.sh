#!/usr/bin/env bash
# Draws docs/plots/*.svg from the CSV of policy-bench. Usage: scripts/plot-policy.sh FILE.csv
set -euo pipefail
cd "$(dirname "$0")/.."
csv=${1:?usage: scripts/plot-policy.sh FILE.csv}
plots=docs/plots
mkdir -p "$plots"
data=$(mktemp -d)
trap 'rm -rf "$data"' EXIT

# Mean over the seeds: deployment,scenario,size,policy,measure,value
awk -F, 'NR > 1 { key = $1 "," $2 "," $3 "," $4 "," $6; sum[key] += $7; count[key]++ }
         END { for (key in sum) print key "," sum[key] / count[key] }' "$csv" | sort -t, -k1,1 -k2,2 -k3,3n -k4,4 >"$data/means"

# plot_by_size NAME TITLE YLABEL MEASURE SCENARIO POLICIES...: draws one group of bars per deployment and size.
plot_by_size() {
    local name=$1 title=$2 label=$3 measure=$4 scenario=$5
    shift 5
    {
        echo "run $*"
        for deployment in iceland kenya; do
            for size in 1 4 16; do
                printf '"%s x%s"' "$deployment" "$size"
                for policy in "$@"; do
                    value=$(awk -F, -v d="$deployment" -v s="$scenario" -v n="$size" -v p="$policy" -v m="$measure" \
                        '$1 == d && $2 == s && $3 == n && $4 == p && $5 == m { print $6 }' "$data/means")
                    printf ' %s' "${value:-NaN}"
                done
                echo
            done
        done
    } >"$data/$name"
    draw "$name" "$title" "$label" $# ''
}

# plot_kept NAME SCENARIO TITLE CLASSES...: draws the requests that each class completes in time during a flood,
# relative to those before it, at size 1.
plot_kept() {
    local name=$1 scenario=$2 title=$3
    shift 3
    {
        echo "run $*"
        for deployment in iceland kenya; do
            for policy in late_binding central hashing; do
                printf '"%s %s"' "$deployment" "$policy"
                for class in "$@"; do
                    value=$(awk -F, -v d="$deployment" -v s="$scenario" -v p="$policy" -v m="${class}_kept" \
                        '$1 == d && $2 == s && $3 == 1 && $4 == p && $5 == m { print $6 }' "$data/means")
                    printf ' %s' "${value:-NaN}"
                done
                echo
            done
        done
    } >"$data/$name"
    draw "$name" "$title" 'completed in time, part of before' $# 'set yrange [0:1.2]; set arrow from graph 0, first 0.95 to graph 1, first 0.95 nohead dt 2'
}

draw() {
    local name=$1 title=$2 label=$3 columns=$4 extra=$5
    gnuplot <<PLOT
set terminal svg size 900,420 font 'sans,12'
set output '$plots/$name.svg'
set title '$title' noenhanced
set ylabel '$label'
set style data histograms
set style fill solid 0.8
set key outside right noenhanced autotitle columnhead
set xtics rotate by -25 noenhanced
set grid ytics
set yrange [0:*]
$extra
plot for [column = 2:$((columns + 1))] '$data/$name' using column:xtic(1)
PLOT
    echo "plot: wrote $plots/$name.svg"
}

plot_by_size queue_p99 'p99 queueing wait at 70 % load' 'milliseconds' queue_p99 steady \
    late_binding late_binding_near central_with_offers central hashing round_robin
plot_by_size start_p50 'p50 from the arrival at the edge to the start of service' 'milliseconds' start_p50 steady \
    late_binding late_binding_near central_with_offers central hashing
plot_by_size cold_start_p99 'p99 queueing wait while one upstream in seven restarts cold' 'milliseconds' queue_p99 \
    cold_start late_binding central hashing round_robin
plot_by_size inverted_p99 'p99 queueing wait with a third of the load reports inverted' 'milliseconds' queue_p99 \
    misleading_inverted late_binding central hashing
plot_by_size broken_sessions 'broken sessions per 100,000 during three planned changes' 'sessions' broken_per_100k \
    session_changes late_binding hashing hashing_and_flow_table
plot_kept flood_urgent flood_urgent 'Tenfold flood of urgent work' normal bulk
plot_kept flood_bulk flood_bulk 'Tenfold flood of bulk' urgent normal

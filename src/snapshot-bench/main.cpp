// Measures formatting, parsing and the due check of flow snapshots, with the flow counts of docs/CAPACITY.md.

#include "citroncrank/flow_snapshot.h"

#include <benchmark/benchmark.h>
#include <chrono>
#include <string>

using namespace citroncrank;

namespace {

constexpr std::uint32_t kFirstCaller = 0x64400000;
constexpr host_address kServiceAddress{0xC6120001, 443};
// Flows from one caller host, each with its own source port.
constexpr std::int64_t kFlowsPerCaller = 100;

flow_snapshot makeSnapshot(std::int64_t flows)
{
    flow_snapshot snapshot{.upstreamStartedAtMs = 1, .flows = {}};
    for (std::int64_t i = 0; i < flows; ++i) {
        const host_address caller{std::uint32_t(kFirstCaller + i / kFlowsPerCaller),
                                  std::uint16_t(i % kFlowsPerCaller)};
        snapshot.flows.push_back({{caller, kServiceAddress}, std::uint32_t(i)});
    }
    return snapshot;
}

void formatSnapshot(benchmark::State &state)
{
    const flow_snapshot snapshot = makeSnapshot(state.range(0));
    std::size_t bytes = 0;
    for (auto unused : state)
        bytes = formatFlowSnapshot(snapshot).size();
    state.counters["bytes"] = double(bytes);
}

void parseSnapshot(benchmark::State &state)
{
    const std::string text = formatFlowSnapshot(makeSnapshot(state.range(0)));
    snapshot_fault fault{};
    for (auto unused : state)
        benchmark::DoNotOptimize(parseFlowSnapshot(text, &fault));
}

void decideWhetherDue(benchmark::State &state)
{
    const flow_snapshot snapshot = makeSnapshot(state.range(0));
    snapshot_schedule schedule;
    schedule.recordWritten(snapshot, time_point{});
    for (auto unused : state)
        benchmark::DoNotOptimize(
            schedule.isDue(snapshot, std::chrono::seconds(1), time_point{} + std::chrono::hours(1)));
}

BENCHMARK(formatSnapshot)->Arg(100)->Arg(2540)->Arg(20'000);
BENCHMARK(parseSnapshot)->Arg(100)->Arg(2540)->Arg(20'000);
BENCHMARK(decideWhetherDue)->Arg(100)->Arg(2540)->Arg(20'000);

} // namespace

BENCHMARK_MAIN();

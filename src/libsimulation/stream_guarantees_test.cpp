#include "stream_simulation_pvt.h"
#include "test_doubles_pvt.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <thread>

namespace citroncrank::simulation {
namespace {

using plan_function = std::function<schedule_plan(std::uint64_t)>;

constexpr unsigned kThreads = 3;
constexpr std::uint64_t kPairSchedules = 100'000;
constexpr std::uint64_t kMixedSchedules = 50'000;
constexpr std::uint64_t kDoubleSchedules = 30'000;
constexpr std::uint64_t kPlannedSchedules = 10'000;

/// Schedules of the pair test; CITRONCRANK_SCHEDULES asks for a longer run. The other tests scale along.
std::uint64_t scaled(std::uint64_t normal)
{
    const char *text = std::getenv("CITRONCRANK_SCHEDULES");
    return text == nullptr ? normal : normal * std::strtoull(text, nullptr, 10) / kPairSchedules;
}

void print(const std::string &line)
{
    std::cout << line << std::endl;
}

// The first violations name their seed, so that a failing schedule can be traced.
void printViolations(const schedule_plan &plan, const simulation_result &result)
{
    for (int index = 0; index < kGuaranteeCount; ++index) {
        if (result.violations[std::size_t(index)] > 0)
            print(std::string("violated ") + toString(guarantee(index)) + " seed=" + std::to_string(plan.seed)
                  + " failures=" + describe(plan.failures));
    }
}

bool anyViolated(const simulation_result &result)
{
    return std::any_of(result.violations.begin(), result.violations.end(), [](auto count) { return count > 0; });
}

simulation_result runMany(std::uint64_t count, const plan_function &planOf, const component_factory &parts,
                          bool show = false)
{
    std::array<simulation_result, kThreads> sums;
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < kThreads; ++index) {
        threads.emplace_back([&, index] {
            int shown = 0;
            for (std::uint64_t seed = index; seed < count; seed += kThreads) {
                const auto result = stream_simulation(planOf(seed), parts).run();
                sums[index].add(result);
                if (show && anyViolated(result) && shown++ < 3)
                    printViolations(planOf(seed), result);
            }
        });
    }
    for (auto &thread : threads)
        thread.join();
    simulation_result sum;
    for (const auto &part : sums)
        sum.add(part);
    return sum;
}

schedule_plan pairs(std::uint64_t seed)
{
    return {.seed = seed, .failures = failuresOf(seed)};
}
schedule_plan plannedChanges(std::uint64_t seed)
{
    return {.seed = seed, .failures = kPlannedChanges};
}
schedule_plan plannedStops(std::uint64_t seed)
{
    return {.seed = seed, .failures = kPlannedChanges, .stopWhenIdle = true};
}
schedule_plan cutStops(std::uint64_t seed)
{
    return {.seed = seed, .failures = kPlannedChanges, .stopAtOnce = true};
}
schedule_plan reusedAddresses(std::uint64_t seed)
{
    return {.seed = seed, .failures = bitOf(failure::address_reuse) | bitOf(failure::stale_table)};
}
schedule_plan pausedDrains(std::uint64_t seed)
{
    return {.seed = seed,
            .failures = bitOf(failure::drain) | bitOf(failure::stale_table) | bitOf(failure::late),
            .openWithinMs = 6000,
            .pauseDrained = true};
}

// Several failures at once, over longer openings, with drained agents that stop or pause.
schedule_plan mixtures(std::uint64_t seed)
{
    random_source random(seed + kPairSchedules);
    const auto mask = random.next() & random.next() & ((1U << kFailureCount) - 1);
    return {.seed = seed + kPairSchedules,
            .failures = std::uint32_t(mask),
            .openWithinMs = random.chance(500) ? 600U : 4000U,
            .stopWhenIdle = random.chance(500),
            .pauseDrained = random.chance(300)};
}

std::uint64_t compare(guarantee kind, const std::string &name, const simulation_result &result)
{
    print(std::string(toString(kind)) + " " + name + ": " + std::to_string(result.of(kind)) + " violations in "
          + std::to_string(result.schedules) + " schedules");
    return result.of(kind);
}

// Guards against any promise that breaks under one failure or two at once, and against flows that never end.
TEST(StreamGuarantees, HoldUnderEachFailureAndEachPair)
{
    const auto count = scaled(kPairSchedules);
    const auto ours = runMany(count, pairs, productComponents(), true);
    const auto baseline = runMany(count, pairs, baselineComponents());
    for (int index = 0; index < kGuaranteeCount; ++index) {
        const auto kind = guarantee(index);
        print(std::string(toString(kind)) + " naive: " + std::to_string(baseline.of(kind)) + " of "
              + std::to_string(baseline.schedules) + ", citroncrank: " + std::to_string(ours.of(kind)));
        EXPECT_EQ(ours.of(kind), 0U) << toString(kind);
    }
    print("citroncrank flows: " + std::to_string(ours.complete) + " complete, " + std::to_string(ours.refused)
          + " refused, " + std::to_string(ours.reset) + " reset; " + std::to_string(ours.runs) + " runs, "
          + std::to_string(ours.mismatches) + " mismatches, " + std::to_string(ours.corruptDropped)
          + " corrupt frames dropped");
    EXPECT_GT(ours.mismatches, 0U);
    EXPECT_GT(ours.corruptDropped, 0U);
    for (const auto kind : {guarantee::p2, guarantee::p3, guarantee::p4, guarantee::p5})
        EXPECT_GT(baseline.of(kind), 0U) << "the schedules no longer reach " << toString(kind);
}

// Guards against promises that break only when three or more failures meet.
TEST(StreamGuarantees, HoldUnderMixturesOfFailures)
{
    const auto ours = runMany(scaled(kMixedSchedules), mixtures, productComponents(), true);
    for (int index = 0; index < kGuaranteeCount; ++index)
        EXPECT_EQ(compare(guarantee(index), "citroncrank, mixtures", ours), 0U);
}

// Guards against sessions and requests that a drain, replaced balancers and an added upstream break.
TEST(StreamGuarantees, P1FlowsSurviveDrainsReplacedBalancersAndAddedUpstreams)
{
    const auto count = scaled(kPlannedSchedules);
    const auto ours = runMany(count, plannedChanges, productComponents(), true);
    EXPECT_EQ(compare(guarantee::p1, "citroncrank", ours), 0U);
    EXPECT_FALSE(anyViolated(ours));
    EXPECT_GT(compare(guarantee::p1, "balancers ignore the owner in the frame",
                      runMany(count, plannedChanges, rehashingBalancers())),
              0U);
    compare(guarantee::p1, "naive", runMany(count, plannedChanges, baselineComponents()));
}

// Guards against bytes at another service's upstream after an address was reused and balancers are stale.
TEST(StreamGuarantees, P2ReusedAddressGetsNoForeignBytes)
{
    const auto count = scaled(kPlannedSchedules);
    const auto ours = runMany(count, reusedAddresses, productComponents(), true);
    EXPECT_EQ(compare(guarantee::p2, "citroncrank", ours), 0U);
    print("P2 citroncrank: " + std::to_string(ours.mismatches) + " mismatching frames counted");
    EXPECT_GT(ours.mismatches, 0U);
    EXPECT_GT(
        compare(guarantee::p2, "agents accept any identity", runMany(count, reusedAddresses, identityBlindAgents())),
        0U);
    EXPECT_GT(compare(guarantee::p2, "naive", runMany(count, reusedAddresses, baselineComponents())), 0U);
}

// Shows that the check of P3 sees truncated responses.
TEST(StreamGuarantees, P3FailsWhenEveryEndCountsAsComplete)
{
    const auto broken = runMany(scaled(kPlannedSchedules), pairs, alwaysFinishingEdges());
    EXPECT_GT(compare(guarantee::p3, "edges finish on every end", broken), 0U);
}

// Shows that the check of P4 sees "not run" for requests that ran.
TEST(StreamGuarantees, P4FailsWhenUnknownOutcomesCountAsNotRun)
{
    const auto broken = runMany(scaled(kPlannedSchedules), pairs, guessingEdges());
    EXPECT_GT(compare(guarantee::p4, "edges refuse on every unknown outcome", broken), 0U);
}

// Shows that the check of P5 sees double runs, and that both the fence and the single use of offers are needed.
TEST(StreamGuarantees, P5FailsWithoutFenceAndWithReusableOffers)
{
    const auto count = scaled(kDoubleSchedules);
    EXPECT_GT(compare(guarantee::p5, "edges move without a fence", runMany(count, pairs, unfencedEdges())), 0U);
    EXPECT_GT(compare(guarantee::p5, "agents accept an offer twice", runMany(count, pairs, rebindingAgents())), 0U);
}

// Guards against work at a draining agent when its announcement is lost and when it pauses meanwhile.
TEST(StreamGuarantees, P6DrainingAgentGetsNoNewFlows)
{
    const auto count = scaled(kPlannedSchedules);
    const auto ours = runMany(count, pausedDrains, productComponents(), true);
    EXPECT_EQ(compare(guarantee::p6, "citroncrank", ours), 0U);
    print("P6 citroncrank: " + std::to_string(ours.lateOpens) + " opens refused over 3 s after the drain began");
    EXPECT_GT(ours.lateOpens, 0U);
    EXPECT_GT(compare(guarantee::p6, "agents ignore their drain", runMany(count, pausedDrains, undrainedAgents())), 0U);
    EXPECT_GT(compare(guarantee::p6, "naive", runMany(count, pausedDrains, baselineComponents())), 0U);
}

// Guards against a stop after a drain that cuts a flow, with balancers replaced at the same time.
TEST(StreamGuarantees, P7StopWhenIdleCutsNothing)
{
    const auto count = scaled(kPlannedSchedules);
    const auto ours = runMany(count, plannedStops, productComponents(), true);
    EXPECT_EQ(compare(guarantee::p7, "citroncrank", ours), 0U);
    EXPECT_FALSE(anyViolated(ours));
    EXPECT_GT(compare(guarantee::p7, "agents stop at once", runMany(count, cutStops, productComponents())), 0U);
    EXPECT_GT(compare(guarantee::p7, "naive", runMany(count, plannedStops, baselineComponents())), 0U);
}

// Guards against a trace that says nothing about a violation. With CITRONCRANK_TRACE_SEED set it prints the trace of that
// schedule (pairs of failures), to find the cause of a violation.
TEST(StreamGuarantees, TraceOfOneSeedIsComplete)
{
    const char *text = std::getenv("CITRONCRANK_TRACE_SEED");
    auto plan = pairs(text == nullptr ? 1 : std::strtoull(text, nullptr, 10));
    plan.trace = true;
    const auto trace = stream_simulation(plan, productComponents()).run().trace;
    EXPECT_FALSE(trace.empty());
    for (const auto &line : trace) {
        if (text != nullptr)
            print(line);
    }
}

} // namespace
} // namespace citroncrank::simulation

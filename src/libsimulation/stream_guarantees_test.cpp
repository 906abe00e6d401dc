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

/// Scales the number of schedules of a test by CITRONCRANK_SCHEDULES, which sets the number of the pair test.
std::uint64_t scaled(std::uint64_t defaultCount)
{
    const char *text = std::getenv("CITRONCRANK_SCHEDULES");
    return text == nullptr ? defaultCount : defaultCount * std::strtoull(text, nullptr, 10) / kPairSchedules;
}

void print(const std::string &line)
{
    std::cout << line << std::endl;
}

// Prints the seed of a violation, so that its schedule can be traced with CITRONCRANK_TRACE_SEED.
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

simulation_result runSchedules(std::uint64_t count, const plan_function &makePlan, const component_factory &components,
                               bool show = false)
{
    std::array<simulation_result, kThreads> sums;
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < kThreads; ++index) {
        threads.emplace_back([&, index] {
            int shown = 0;
            for (std::uint64_t seed = index; seed < count; seed += kThreads) {
                const auto result = stream_simulation(makePlan(seed), components).run();
                sums[index].add(result);
                if (show && anyViolated(result) && shown++ < 3)
                    printViolations(makePlan(seed), result);
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
    return {.seed = seed, .failures = chooseFailures(seed)};
}
schedule_plan plannedChanges(std::uint64_t seed)
{
    return {.seed = seed, .failures = kPlannedChanges};
}
schedule_plan plannedStops(std::uint64_t seed)
{
    return {.seed = seed, .failures = kPlannedChanges, .stopWhenIdle = true};
}
schedule_plan immediateStops(std::uint64_t seed)
{
    return {.seed = seed, .failures = kPlannedChanges, .stopImmediately = true};
}
schedule_plan reusedAddresses(std::uint64_t seed)
{
    return {.seed = seed, .failures = failureBit(failure::address_reuse) | failureBit(failure::stale_table)};
}
schedule_plan pausedDrains(std::uint64_t seed)
{
    return {.seed = seed,
            .failures = failureBit(failure::drain) | failureBit(failure::stale_table) | failureBit(failure::late),
            .openWithinMs = 6000,
            .pauseDrained = true};
}

// Several failures at once, with callers that open flows over a longer time and drained agents that stop or pause.
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

std::uint64_t printViolationCount(guarantee kind, const std::string &name, const simulation_result &result)
{
    print(std::string(toString(kind)) + " " + name + ": " + std::to_string(result.of(kind)) + " violations in "
          + std::to_string(result.schedules) + " schedules");
    return result.of(kind);
}

// Guards against violations of any guarantee under one failure or a pair of failures, and against flows that never end.
TEST(StreamGuarantees, HoldUnderEachFailureAndEachPair)
{
    const auto count = scaled(kPairSchedules);
    const auto product = runSchedules(count, pairs, productComponents(), true);
    const auto baseline = runSchedules(count, pairs, baselineComponents());
    for (int index = 0; index < kGuaranteeCount; ++index) {
        const auto kind = guarantee(index);
        print(std::string(toString(kind)) + " baseline: " + std::to_string(baseline.of(kind)) + " of "
              + std::to_string(baseline.schedules) + ", citroncrank: " + std::to_string(product.of(kind)));
        EXPECT_EQ(product.of(kind), 0U) << toString(kind);
    }
    print("citroncrank flows: " + std::to_string(product.complete) + " complete, " + std::to_string(product.refused)
          + " refused, " + std::to_string(product.reset) + " reset; " + std::to_string(product.runs) + " runs, "
          + std::to_string(product.mismatches) + " mismatches, " + std::to_string(product.corruptDropped)
          + " corrupt frames dropped");
    EXPECT_GT(product.mismatches, 0U);
    EXPECT_GT(product.corruptDropped, 0U);
    for (const auto kind : {guarantee::p2, guarantee::p3, guarantee::p4, guarantee::p5})
        EXPECT_GT(baseline.of(kind), 0U) << "the schedules no longer reach " << toString(kind);
}

// Guards against guarantees that are violated only when three or more failures coincide.
TEST(StreamGuarantees, HoldUnderMixturesOfFailures)
{
    const auto product = runSchedules(scaled(kMixedSchedules), mixtures, productComponents(), true);
    for (int index = 0; index < kGuaranteeCount; ++index)
        EXPECT_EQ(printViolationCount(guarantee(index), "citroncrank, mixtures", product), 0U);
}

// Guards against sessions and requests that are broken by a drain, replaced balancers or an added upstream.
TEST(StreamGuarantees, P1FlowsSurviveDrainsReplacedBalancersAndAddedUpstreams)
{
    const auto count = scaled(kPlannedSchedules);
    const auto product = runSchedules(count, plannedChanges, productComponents(), true);
    EXPECT_EQ(printViolationCount(guarantee::p1, "citroncrank", product), 0U);
    EXPECT_FALSE(anyViolated(product));
    EXPECT_GT(printViolationCount(guarantee::p1, "balancers ignore the owner in the frame",
                                  runSchedules(count, plannedChanges, rehashingBalancers())),
              0U);
    printViolationCount(guarantee::p1, "baseline", runSchedules(count, plannedChanges, baselineComponents()));
}

// Guards against bytes that reach an upstream of another service when an address was reused and the tables of
// balancers are stale.
TEST(StreamGuarantees, P2ReusedAddressGetsNoForeignBytes)
{
    const auto count = scaled(kPlannedSchedules);
    const auto product = runSchedules(count, reusedAddresses, productComponents(), true);
    EXPECT_EQ(printViolationCount(guarantee::p2, "citroncrank", product), 0U);
    print("P2 citroncrank: " + std::to_string(product.mismatches) + " mismatching frames counted");
    EXPECT_GT(product.mismatches, 0U);
    EXPECT_GT(printViolationCount(guarantee::p2, "agents accept any identity",
                                  runSchedules(count, reusedAddresses, identityIgnoringAgents())),
              0U);
    EXPECT_GT(
        printViolationCount(guarantee::p2, "baseline", runSchedules(count, reusedAddresses, baselineComponents())), 0U);
}

// Shows that the check of P3 detects truncated responses.
TEST(StreamGuarantees, P3FailsWhenEveryEndCountsAsComplete)
{
    const auto broken = runSchedules(scaled(kPlannedSchedules), pairs, alwaysFinishingEdges());
    EXPECT_GT(printViolationCount(guarantee::p3, "edges finish on every end", broken), 0U);
}

// Shows that the check of P4 detects refusals ("not run") of requests that ran.
TEST(StreamGuarantees, P4FailsWhenUnknownOutcomesCountAsNotRun)
{
    const auto broken = runSchedules(scaled(kPlannedSchedules), pairs, alwaysRefusingEdges());
    EXPECT_GT(printViolationCount(guarantee::p4, "edges refuse on every unknown outcome", broken), 0U);
}

// Shows that the check of P5 detects requests that run twice, and that both the fence and the single use of offers are
// needed.
TEST(StreamGuarantees, P5FailsWithoutFenceAndWithReusableOffers)
{
    const auto count = scaled(kDoubleSchedules);
    EXPECT_GT(
        printViolationCount(guarantee::p5, "edges move without a fence", runSchedules(count, pairs, unfencedEdges())),
        0U);
    EXPECT_GT(printViolationCount(guarantee::p5, "agents accept an offer twice",
                                  runSchedules(count, pairs, rebindingAgents())),
              0U);
}

// Guards against new flows at a draining agent when its announcement is lost and when it pauses during the drain.
TEST(StreamGuarantees, P6DrainingAgentGetsNoNewFlows)
{
    const auto count = scaled(kPlannedSchedules);
    const auto product = runSchedules(count, pausedDrains, productComponents(), true);
    EXPECT_EQ(printViolationCount(guarantee::p6, "citroncrank", product), 0U);
    print("P6 citroncrank: " + std::to_string(product.opensAfterDrainLimit)
          + " opens refused over 3 s after the drain began");
    EXPECT_GT(product.opensAfterDrainLimit, 0U);
    EXPECT_GT(printViolationCount(guarantee::p6, "agents ignore their drain",
                                  runSchedules(count, pausedDrains, drainIgnoringAgents())),
              0U);
    EXPECT_GT(printViolationCount(guarantee::p6, "baseline", runSchedules(count, pausedDrains, baselineComponents())),
              0U);
}

// Guards against a stop after a drain that breaks a flow while balancers are replaced.
TEST(StreamGuarantees, P7StopWhenIdleBreaksNoFlow)
{
    const auto count = scaled(kPlannedSchedules);
    const auto product = runSchedules(count, plannedStops, productComponents(), true);
    EXPECT_EQ(printViolationCount(guarantee::p7, "citroncrank", product), 0U);
    EXPECT_FALSE(anyViolated(product));
    EXPECT_GT(printViolationCount(guarantee::p7, "agents stop at once",
                                  runSchedules(count, immediateStops, productComponents())),
              0U);
    EXPECT_GT(printViolationCount(guarantee::p7, "baseline", runSchedules(count, plannedStops, baselineComponents())),
              0U);
}

// Guards against an empty trace. With CITRONCRANK_TRACE_SEED set, the test prints the trace of that schedule (pairs of
// failures) to find the cause of a violation.
TEST(StreamGuarantees, TraceOfOneSeedIsNotEmpty)
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

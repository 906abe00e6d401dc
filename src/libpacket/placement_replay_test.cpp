#include "placement_replay_test.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace citroncrank;
using namespace citroncrank::packet_fixture;

namespace {

constexpr double kSlowSpeed = 0.55;

bool isSlow(std::size_t upstream)
{
    return upstream % 4 == 0;
}

bool isFast(std::size_t upstream)
{
    return !isSlow(upstream);
}

/// One upstream in four is slow. `utilization` is a fraction of what all of them can do.
replay_settings mixedSpeeds(std::size_t balancers, double utilization)
{
    return {.balancers = balancers,
            .utilization = utilization * (0.75 + 0.25 * kSlowSpeed),
            .speed = [](std::size_t upstream, double) { return isSlow(upstream) ? kSlowSpeed : 1.0; }};
}

/// Upstream 0 changes its speed at 6 s, and has its old one from `endMs` on.
replay_settings changedSpeed(std::size_t balancers, double speed, double endMs)
{
    return {.balancers = balancers, .utilization = 0.7, .endMs = 30'000, .speed = [=](std::size_t upstream, double ms) {
                return upstream == 0 && ms >= 6000 && ms < endMs ? speed : 1.0;
            }};
}

replay_settings withoutReportedTimes(replay_settings settings)
{
    settings.areTimesReported = false;
    return settings;
}

/// Mean number of requests placed at upstream 0 in a second from `first` to `last`.
double placedPerSecond(const replay_result &result, std::size_t first, std::size_t last)
{
    double sum = 0;
    for (std::size_t second = first; second <= last; ++second)
        sum += result.bySecond[second];
    return sum / double(last - first + 1);
}

double lateShare(const replay_result &result)
{
    return result.late / result.answered;
}

class PlacementReplay : public ::testing::TestWithParam<std::size_t>
{};
INSTANTIATE_TEST_SUITE_P(Balancers, PlacementReplay, ::testing::Values(2, 30));

} // namespace

// Guards against slow upstreams that get as much work as fast ones. Near the limit of all upstreams the slow ones get
// work by their speed; below it they get less, since fast ones answer sooner.
TEST_P(PlacementReplay, SlowUpstreamsGetWorkBySpeed)
{
    constexpr std::uint64_t kRuns = 4;
    double share = 0;
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
        replay_settings busy = mixedSpeeds(GetParam(), 0.97);
        busy.seed = seed;
        const auto result = placement_replay(busy).run();
        share += result.meanWork(isSlow) / result.meanWork(isFast) / double(kRuns);
    }
    EXPECT_NEAR(share, kSlowSpeed, 0.1 * kSlowSpeed);
    const replay_settings settings = mixedSpeeds(GetParam(), 0.5);
    const auto calm = placement_replay(settings).run();
    const auto untold = placement_replay(withoutReportedTimes(settings)).run();
    const auto ideal = placement_replay(settings).runIdeal();
    EXPECT_LT(calm.meanWork(isSlow) / calm.meanWork(isFast), kSlowSpeed);
    EXPECT_GT(untold.meanWork(isSlow) / untold.meanWork(isFast), 1.1 * kSlowSpeed);
    EXPECT_LT(calm.meanMs, untold.meanMs);
    EXPECT_LT(calm.meanMs, 1.25 * ideal.meanMs);
}

// Guards against noise of the measured times that makes upstreams of the same speed differ.
TEST_P(PlacementReplay, EqualUpstreamsGetEqualWork)
{
    for (const double utilization : {0.3, 0.8}) {
        replay_settings settings{.balancers = GetParam(), .utilization = utilization};
        const auto measured = placement_replay(settings).run();
        const auto untold = placement_replay(withoutReportedTimes(settings)).run();
        const double mean = measured.meanWork([](std::size_t) { return true; });
        for (const double work : measured.workMs)
            EXPECT_NEAR(work / mean, 1, 0.2) << utilization;
        EXPECT_NEAR(measured.meanMs / untold.meanMs, 1, 0.02) << utilization;
        EXPECT_NEAR(measured.p99Ms / untold.p99Ms, 1, 0.05) << utilization;
    }
}

// Guards against new work for an upstream that has become five times slower, and against leaving it out for long once
// it is as fast as before.
TEST_P(PlacementReplay, WorkFollowsAChangeOfSpeed)
{
    for (const double endMs : {8000.0, 26'000.0}) {
        const replay_settings settings = changedSpeed(GetParam(), 0.2, endMs);
        const auto result = placement_replay(settings).run();
        const double before = placedPerSecond(result, 2, 5);
        EXPECT_LT(result.bySecond[7], 0.2 * before);
        const auto end = std::size_t(endMs / 1000);
        EXPECT_LT(placedPerSecond(result, 7, end - 1), 0.2 * before);
        EXPECT_GT(result.bySecond[end + 3], 0.7 * before);
        EXPECT_LT(lateShare(result), lateShare(placement_replay(withoutReportedTimes(settings)).run()) + 1e-4);
    }
}

// Guards against new work for an upstream that hangs, and against leaving it out for long once it answers.
TEST_P(PlacementReplay, HangingUpstreamsGetNoWork)
{
    const auto result = placement_replay(changedSpeed(GetParam(), 0, 10'000)).run();
    EXPECT_LT(placedPerSecond(result, 7, 9), 0.02 * placedPerSecond(result, 2, 5));
    EXPECT_GT(result.bySecond[13], 0.7 * placedPerSecond(result, 2, 5));
}

namespace {

constexpr double kRestartMs = 8000;

/// Upstream 0, or each of them, starts at kRestartMs, and is `coldFactor` times slower at first.
replay_settings started(std::size_t balancers, bool isEach, double requestsPerFlow, double coldFactor)
{
    constexpr double kColdMs = 2000;
    replay_settings settings{.balancers = balancers,
                             .requestsPerFlow = requestsPerFlow,
                             .utilization = 0.5,
                             .endMs = 13'000,
                             .measuredFromMs = kRestartMs};
    settings.startMs = [=](std::size_t upstream) { return isEach || upstream == 0 ? kRestartMs : 0.0; };
    settings.coldFactor = [=](std::size_t upstream, double ms) {
        return isEach || upstream == 0 ? 1 + (coldFactor - 1) * std::max(0.0, 1 - ms / kColdMs) : 1.0;
    };
    if (isEach)
        settings.surge = [](std::size_t, double ms) { return ms < kRestartMs ? 0.0 : 1.0; };
    return settings;
}

struct start_figures
{
    double first = 0;         ///< Requests placed at upstream 0 in the first second.
    double fourth = 0;        ///< Mean of the fourth and fifth second.
    double most = 0;          ///< Most requests that were at upstream 0 at a time.
    double mostElsewhere = 0; ///< Of the other upstreams.
    double late = 0;
};

start_figures meanStart(replay_settings settings)
{
    constexpr std::uint64_t kRuns = 6;
    start_figures mean;
    for (settings.seed = 1; settings.seed <= kRuns; ++settings.seed) {
        const auto result = placement_replay(settings).run();
        mean.first += result.bySecond[8] / kRuns;
        mean.fourth += placedPerSecond(result, 11, 12) / kRuns;
        mean.most = std::max(mean.most, double(result.most[0]));
        mean.mostElsewhere =
            std::max(mean.mostElsewhere, double(*std::max_element(result.most.begin() + 1, result.most.end())));
        mean.late += lateShare(result) / kRuns;
    }
    return mean;
}

} // namespace

// Guards against a new upstream that is flooded while it is slow, or idle although it is as fast as the others.
TEST_P(PlacementReplay, NewUpstreamsGetWorkByTheirAnswers)
{
    for (const double requestsPerFlow : {1.0, 8.0}) {
        const start_figures fast = meanStart(started(GetParam(), false, requestsPerFlow, 1));
        const start_figures cold = meanStart(started(GetParam(), false, requestsPerFlow, 2.5));
        RecordProperty("first_fast_" + std::to_string(int(requestsPerFlow)), std::to_string(fast.first));
        RecordProperty("first_cold_" + std::to_string(int(requestsPerFlow)), std::to_string(cold.first));
        RecordProperty("fourth_fast_" + std::to_string(int(requestsPerFlow)), std::to_string(fast.fourth));
        RecordProperty("fourth_cold_" + std::to_string(int(requestsPerFlow)), std::to_string(cold.fourth));
        EXPECT_LT(cold.first, fast.first);
        EXPECT_GT(cold.fourth, 0.8 * fast.fourth) << "warm by then";
        EXPECT_LE(cold.most, 1.5 * cold.mostElsewhere);
        if (requestsPerFlow == 1) {
            EXPECT_GT(fast.first, 0.9 * fast.fourth);
        }
    }
}

// Guards against a reduced share of the slots when all upstreams start at once: none has room for the work of the others
// then.
TEST_P(PlacementReplay, AllUpstreamsStartAtOnce)
{
    replay_settings settings = started(GetParam(), true, 1, 2.5);
    const start_figures measured = meanStart(settings);
    settings.areTimesReported = false;
    const start_figures untold = meanStart(settings);
    EXPECT_GT(measured.first, 0.9 * untold.first);
    EXPECT_LT(measured.late, 1.1 * untold.late + 1e-3);
}

// Guards against flows that cross failure domains while a request is in time in the own one, and against requests that
// are late there while others have free slots.
TEST_P(PlacementReplay, OwnDomainFirstWhileInTime)
{
    replay_settings settings{.balancers = std::max<std::size_t>(3, GetParam()), .upstreams = 18, .domains = 3};
    for (const double utilization : {0.3, 0.5, 0.8}) {
        settings.utilization = utilization;
        settings.surge = [](std::size_t domain, double ms) {
            return int(ms / 5000) % 2 == 0 ? 1.0 : domain == 0 ? 1.8 : 0.6;
        };
        settings.isTargetKnown = true;
        const auto known = placement_replay(settings).run();
        settings.isTargetKnown = false;
        const auto unknown = placement_replay(settings).run();
        EXPECT_LT(known.crossedDomains / known.answered, 0.7 * unknown.crossedDomains / unknown.answered)
            << utilization;
        EXPECT_LT(known.lateWhileIdle / known.answered, 0.01) << utilization;
        EXPECT_LT(known.meanMs, 1.01 * unknown.meanMs) << utilization;
        EXPECT_LT(lateShare(known), lateShare(unknown) + 1e-3) << utilization;
        if (utilization < 0.4) {
            EXPECT_LT(known.crossedDomains / known.answered, 0.05);
        }
    }
}

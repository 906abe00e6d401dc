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

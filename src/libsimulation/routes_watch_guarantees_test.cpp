#include "routes_watch_simulation_pvt.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>

using namespace citroncrank;
using namespace citroncrank::simulation;

namespace {

// Schedules of each test, unless the environment variable PACKET_SCHEDULES sets another number.
constexpr std::uint64_t kDefaultSchedules = 200;
// Limits that deployments set, in their order of strictness.
constexpr std::array kLimits{std::chrono::seconds(3), std::chrono::seconds(5), std::chrono::seconds(11)};

std::uint64_t scheduleCount()
{
    const char *const text = std::getenv("PACKET_SCHEDULES");
    return text == nullptr ? kDefaultSchedules : std::strtoull(text, nullptr, 10);
}

routes_watch_outcome runAll(routes_watch_schedule schedule)
{
    routes_watch_outcome total;
    for (std::uint64_t seed = 1; seed <= scheduleCount(); ++seed) {
        schedule.seed = seed;
        schedule.balancers = schedule.domains * (4 + seed % 12);
        const routes_watch_outcome outcome = runRoutesWatchSchedule(schedule);
        total.changes += outcome.changes;
        total.judged += outcome.judged;
        total.faults += outcome.faults;
        total.storeCalls += outcome.storeCalls;
        total.staleRoutes += outcome.staleRoutes;
        if (outcome.staleRoutes > 0)
            std::cerr << "seed " << seed << " stale " << outcome.staleRoutes << '\n';
    }
    return total;
}

} // namespace

// A change is in force within the users' bound at each balancer without a fault of its own, whatever happens to the
// balancers that watch the store.
TEST(RoutesWatchGuarantees, ChangesAreInForceInTime)
{
    for (const std::chrono::seconds limit : kLimits) {
        const routes_watch_outcome total = runAll({.loss = 0.03, .limit = limit});
        EXPECT_GT(total.faults, 15 * scheduleCount());
        EXPECT_EQ(total.staleRoutes, 0U) << "limit of " << limit.count() << " s";
    }
}

// The same with what a deployment has beside failures of processes, in several failure domains of different sizes.
TEST(RoutesWatchGuarantees, ChangesAreInForceInTimeInDeployments)
{
    for (const std::chrono::seconds limit : kLimits) {
        const routes_watch_outcome total =
            runAll({.domains = 3, .loss = 0.01, .hasDeploymentFaults = true, .limit = limit, .length = 8 * limit});
        EXPECT_GT(total.faults, 10 * scheduleCount());
        EXPECT_GT(total.judged, 10 * scheduleCount()) << "balancers without a fault are rare";
        EXPECT_EQ(total.staleRoutes, 0U) << "limit of " << limit.count() << " s";
    }
}

// The schedules of deployments find balancers with old routes as well.
TEST(RoutesWatchGuarantees, SchedulesOfDeploymentsFindBalancersThatWaitForSilentWatchers)
{
    EXPECT_GT(
        runAll({.domains = 3, .hasDeploymentFaults = true, .confirmationTimeout = std::chrono::hours(1)}).staleRoutes,
        0U);
}

// Guards against balancers that vouch for routes which they have not taken from the store's answer.
TEST(RoutesWatchGuarantees, SchedulesFindConfirmationsOfWhatWasNotTaken)
{
    EXPECT_GT(runAll({.domains = 3, .hasDeploymentFaults = true, .confirmsWhatWasNotTaken = true}).staleRoutes, 0U);
}

// Guards against times that are each below the bound and pass one after the other: a watch that ends without the change,
// the time-out of its confirmation at a balancer that does not watch, and that balancer's own call.
TEST(RoutesWatchGuarantees, ChangesThatTheWatchesMissedAreInForceInTime)
{
    for (const std::chrono::seconds limit : kLimits) {
        const routes_watch_outcome total = runAll({.hasOnlyMissedChanges = true, .limit = limit, .length = 10 * limit});
        EXPECT_GT(total.faults, scheduleCount());
        EXPECT_EQ(total.staleRoutes, 0U) << "limit of " << limit.count() << " s";
    }
}

// The schedules find balancers with old routes if a balancer trusts watchers that are silent.
TEST(RoutesWatchGuarantees, SchedulesFindBalancersThatWaitForSilentWatchers)
{
    EXPECT_GT(runAll({.loss = 0.03, .confirmationTimeout = std::chrono::hours(1)}).staleRoutes, 0U);
}

// Guards against calls to the store that grow with the number of balancers: three watch, with a call each 1.5 s and one for
// each change.
TEST(RoutesWatchGuarantees, CallsDoNotGrowWithTheNumberOfBalancers)
{
    for (const std::size_t balancers : {4U, 60U, 300U}) {
        const routes_watch_outcome outcome = runRoutesWatchSchedule(
            {.seed = 1, .balancers = balancers, .hasFaults = false, .length = std::chrono::seconds(65)});
        EXPECT_LE(outcome.storeCalls, 3 * (40 + 1 + outcome.changes)) << balancers << " balancers";
        EXPECT_EQ(outcome.staleRoutes, 0U);
    }
}

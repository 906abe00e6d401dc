#pragma once

/// @file
/// Seeded schedules of balancers that keep the operator's routes in force: a few watch the object store, the others rely
/// on them, while balancers, network and store fail.

#include "citroncrank/routes_watch_role.h"
#include "citroncrank/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace citroncrank::simulation {

struct routes_watch_schedule
{
    std::uint64_t seed = 1;
    std::size_t balancers = 8; ///< In all failure domains together.
    std::size_t domains = 1;
    double loss = 0;       ///< Probability that a datagram is lost.
    bool hasFaults = true; ///< Kills, pauses, cuts, and a store that fails or drops its history.
    /// Each fault is a change that all watches miss, since the store drops its history. A watcher fails as soon as such a
    /// watch of it has ended.
    bool hasOnlyMissedChanges = false;
    /// Also what deployments have beside failures of processes: suspensions, event loops that are late or take no
    /// configuration, a store that is slow, turns some balancers away, comes back from an older copy or stores an older
    /// version after a newer one, paths that work one way only, restarts in series, and calls that take the time of a slow
    /// link.
    bool hasDeploymentFaults = false;
    /// Whether a balancer vouches for the routes in force although it has not taken those of the store's answer.
    bool confirmsWhatWasNotTaken = false;
    /// Within which a change must be in force at a balancer that had no fault for as long.
    duration limit = std::chrono::seconds(5);
    std::size_t watchers = routes_watch_settings{}.watchers;
    std::optional<duration> confirmationTimeout; ///< Nullopt: as for the limit.
    duration length = std::chrono::seconds(30);
};

struct routes_watch_outcome
{
    std::uint64_t changes = 0; ///< Versions that the store confirmed to the operator.
    std::uint64_t judged = 0;  ///< Pairs of a version and a balancer without a fault, at which it had to be in force.
    std::uint64_t staleRoutes = 0; ///< Times that a balancer without a fault had routes replaced before the limit.
    std::uint64_t storeCalls = 0;  ///< After the first 5 s, in which all balancers start.
    std::uint64_t faults = 0;
};

routes_watch_outcome runRoutesWatchSchedule(const routes_watch_schedule &schedule);

} // namespace citroncrank::simulation

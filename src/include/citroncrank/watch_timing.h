#pragma once

/// @file
/// Times of a watch of the object store whose changes must be applied within a limit.

#include "citroncrank/packet_balancer.h"
#include "citroncrank/store_worker.h"

#include <algorithm>
#include <chrono>

namespace citroncrank {

struct watch_timing
{
    /// The store answers a watch after this time even if nothing changed. A watch may end without a change that it should
    /// have reported, at all balancers at once if the store drops its history; only the next call returns that change.
    std::chrono::milliseconds wait{0};
    /// Longest time without a confirmation before a balancer watches by itself.
    duration confirmationTimeout{0};
};

/// Shortest limit that leaves time for a wait.
constexpr duration kMinWatchLimit = std::chrono::seconds(1);

/// Longest wait and time-out such that each, with the call that follows and the tick before it, stays below the limit.
constexpr duration longestWatchPart(duration limit)
{
    return limit - kStoreCallDeadline - kBalancerTick - std::chrono::milliseconds(1);
}

/// Times for changes that must be applied within `limit`, at least kMinWatchLimit.
constexpr watch_timing watchTimingFor(duration limit)
{
    const duration longest = longestWatchPart(limit);
    // A third of the wait is left for a late answer or a lost confirmation of one of several watchers.
    return {std::chrono::duration_cast<std::chrono::milliseconds>(std::min(limit / 2, longest)),
            std::min(limit * 2 / 3, longest)};
}

/// Whether a change is applied within the limit although the store misses it once, or all watchers have just failed.
constexpr bool isWithinLimit(const watch_timing &timing, duration limit)
{
    return timing.wait + kStoreCallDeadline + kBalancerTick < limit
           && timing.confirmationTimeout + kStoreCallDeadline + kBalancerTick < limit;
}

} // namespace citroncrank

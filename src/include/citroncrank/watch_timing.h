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
    /// A balancer that does not watch relies on a confirmation for this time, from the moment that it speaks of.
    duration confirmationTimeout{0};
    /// Deadline of one call. A large answer over a slow link may take longer, see http_connection_settings.
    std::chrono::milliseconds callDeadline{0};
};

/// Shortest limit that leaves time for a wait.
constexpr duration kMinWatchLimit = std::chrono::seconds(1);
/// Longest wait. Proxies and hosts between a node and the store drop connections that are silent for long.
constexpr std::chrono::milliseconds kMaxWatchWait{10'000};
/// Part of the limit that a call may take at most, so that two calls in series fit in at any limit.
constexpr std::int64_t kCallsPerLimit = 5;
/// Time that a confirmation may be late before a balancer that does not watch misses it.
constexpr duration kConfirmationMargin = std::chrono::milliseconds(200);

/// A call without an answer, the pause after it, and a call that is answered at its deadline.
constexpr duration longestCallSeries(const watch_timing &timing)
{
    return timing.callDeadline + kFirstStoreRetryDelay + timing.callDeadline;
}

/// Longest time after a change until a balancer applies it that relied on a confirmation. The confirmation spoke of a moment
/// before the change.
constexpr duration longestUnconfirmedTime(const watch_timing &timing)
{
    return timing.confirmationTimeout + kBalancerTick + longestCallSeries(timing);
}

/// Longest time after a change until a watcher applies it: its watch misses the change and is not answered, the next one
/// tells that the history is gone, and the objects are listed.
constexpr duration longestMissedTime(const watch_timing &timing)
{
    return timing.wait + longestCallSeries(timing) + timing.callDeadline;
}

/// Times for changes that must be applied within `limit`, at least kMinWatchLimit.
constexpr watch_timing watchTimingFor(duration limit)
{
    using std::chrono::milliseconds;
    watch_timing result;
    result.callDeadline =
        std::min(kStoreCallDeadline, std::chrono::duration_cast<milliseconds>(limit / kCallsPerLimit));
    result.confirmationTimeout = limit - kBalancerTick - longestCallSeries(result) - milliseconds(1);
    // The confirmation after a watch speaks of its beginning, so it is up to one wait old, and renewed one wait later.
    const duration margin = std::min(kConfirmationMargin, result.confirmationTimeout / 4);
    const duration wait = (result.confirmationTimeout - margin) / 2;
    result.wait = std::min(kMaxWatchWait, std::chrono::duration_cast<milliseconds>(wait));
    return result;
}

/// An opening is not bound by routes that were replaced for longer than this. The rest of the limit is for hearing of the
/// newer ones and for a placement by them.
constexpr duration replacedRoutesTimeout(duration limit)
{
    return limit / 2;
}

/// Whether a change is applied within the limit however the times follow each other, and whether confirmations are renewed
/// before they expire.
constexpr bool isWithinLimit(const watch_timing &timing, duration limit)
{
    return longestUnconfirmedTime(timing) < limit && longestMissedTime(timing) < limit
           && 2 * timing.wait < timing.confirmationTimeout;
}

} // namespace citroncrank

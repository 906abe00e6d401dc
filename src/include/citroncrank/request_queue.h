#pragma once

/// @file
/// Order in which the requests that wait at an agent are dispatched to its upstream.

#include "citroncrank/packet.h"
#include "citroncrank/time.h"

#include <absl/container/btree_map.h>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace citroncrank {

/// A request that waits for a slot.
struct waiting_request
{
    flow_key flow;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    time_point arrival;
    time_point startDeadline; ///< Latest start at which the answer still meets the latency target.
    time_point deadline;      ///< The caller times out at this time.
    auto operator<=>(const waiting_request &) const = default;
};

/// Serves requests that can still meet their latency target before those that cannot. Each priority gets a share of the
/// scheduling rounds, and so do requests past their target shortly before their callers time out. Not thread safe.
class request_queue
{
public:
    /// Adds a request. Replaces the waiting request of the same flow, if any.
    void add(const waiting_request &request);
    /// Returns false if the flow has no waiting request.
    bool remove(const flow_key &flow);
    bool contains(const flow_key &flow) const { return m_waiting.contains(flow); }

    /// Removes and returns the request to serve next. `maxWithinTarget` is the number of requests that the upstream can
    /// start before one that arrives now would miss its latency target; if more are waiting, the newest is served
    /// first.
    std::optional<flow_key> takeNext(std::size_t maxWithinTarget, time_point now);
    /// Removes and returns the requests whose callers have timed out.
    std::vector<flow_key> takeExpired(time_point now);
    std::size_t size() const { return m_waiting.size(); }
    /// Number of waiting requests that can still meet their latency target.
    std::size_t countWithinTarget(time_point now) const;

private:
    std::optional<std::uint32_t> nextPriority(bool longestUnserved, time_point now) const;
    const waiting_request *nextWithinTarget(std::size_t maxWithinTarget, bool longestUnserved, time_point now) const;
    const waiting_request *nextNearDeadline(time_point now) const;
    const waiting_request *nextPastTarget(time_point now) const;

    /// Ordered, so that every process makes the same decisions for the same input.
    absl::btree_map<flow_key, waiting_request> m_waiting;
    absl::btree_map<std::uint32_t, std::uint64_t> m_lastServed; ///< Last round in which each priority was served.
    std::uint64_t m_rounds = 0;
};

} // namespace citroncrank

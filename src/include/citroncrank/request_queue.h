#pragma once

/// @file
/// Order in which requests that wait at an agent get a slot of its upstream.

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
    time_point startDeadline; ///< Started later, its answer misses the latency target.
    time_point deadline;      ///< Its caller has given up by then.
    auto operator<=>(const waiting_request &) const = default;
};

/// Serves requests that can still be answered in time before those that cannot. Gives every priority a part of the slots,
/// and late requests a turn shortly before their callers give up. Not thread safe.
class request_queue
{
public:
    /// Adds a request; one that the same flow has waiting is replaced.
    void add(const waiting_request &request);
    /// Returns false if the flow has no request waiting.
    bool remove(const flow_key &flow);
    bool contains(const flow_key &flow) const { return m_waiting.contains(flow); }

    /// Takes the request that is served next. `inTimeLimit` is the number of requests that the upstream can start before
    /// one that arrives now would be late; with more of them waiting the newest goes first.
    std::optional<flow_key> takeNext(std::size_t inTimeLimit, time_point now);
    /// Takes the requests whose callers have given up.
    std::vector<flow_key> takeExpired(time_point now);
    std::size_t size() const { return m_waiting.size(); }
    /// Waiting requests that can still be answered in time.
    std::size_t inTime(time_point now) const;

private:
    std::optional<std::uint32_t> nextPriority(bool longestUnserved, time_point now) const;
    const waiting_request *nextInTime(std::size_t inTimeLimit, bool longestUnserved, time_point now) const;
    const waiting_request *nextLastChance(time_point now) const;
    const waiting_request *nextLate(time_point now) const;

    /// Ordered, so that the same input gives the same decisions in every process.
    absl::btree_map<flow_key, waiting_request> m_waiting;
    absl::btree_map<std::uint32_t, std::uint64_t> m_lastServed; ///< Turn in which each priority was served last.
    std::uint64_t m_turns = 0;
};

} // namespace citroncrank

#pragma once

/// @file
/// Order in which the requests that wait at an agent are dispatched to its upstream.

#include "citroncrank/packet.h"
#include "citroncrank/time.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <utility>
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

/// Serves requests that can still meet their latency target before those that cannot. Requests past their target get
/// turns according to how many of them are about to be given up. In overload each priority keeps the share of turns
/// that it has of the arrivals in calm times. The cost of a decision does not depend on the number of waiting requests,
/// apart from the depth of the ordered indexes. Not thread safe.
class request_queue
{
public:
    /// Counts the arrival of a request, whether it has to wait or not. The shares of the priorities rest on it.
    /// `isCapacityExceeded`: more requests arrive than the upstream can answer.
    void recordArrival(std::uint32_t priority, bool isCapacityExceeded, time_point now);
    /// Share of turns that the priority keeps in overload. 1 if no arrival has been recorded.
    double share(std::uint32_t priority) const;
    /// Adds a request. Replaces the waiting request of the same flow, if any.
    void add(const waiting_request &request);
    /// Returns false if the flow has no waiting request.
    bool remove(const flow_key &flow);
    bool contains(const flow_key &flow) const { return m_waiting.contains(flow); }

    /// Moves requests past their target to the later stages. Call periodically, so that countWithinTarget() stays cheap
    /// while no request is taken.
    void advance(time_point now) { advanceStages(now); }
    /// Removes and returns the request to serve next. `maxWithinTarget` is the number of requests that the upstream can
    /// start before one that arrives now would miss its latency target; if more are waiting, the newest is served
    /// first.
    std::optional<flow_key> takeNext(std::size_t maxWithinTarget, time_point now);
    /// Removes and returns the requests whose callers have timed out, in the order of their deadlines.
    std::vector<flow_key> takeExpired(time_point now);
    std::size_t size() const { return m_waiting.size(); }
    /// Number of waiting requests that can still meet their latency target.
    std::size_t countWithinTarget(time_point now) const;
    /// Number of waiting requests of the priority that could still meet their latency target at the last turn.
    std::size_t countOfPriority(std::uint32_t priority) const;

private:
    enum class request_stage : std::uint8_t {
        within_target,
        past_target,
        near_deadline, ///< Past its target, and its caller is about to time out.
    };
    struct entry
    {
        waiting_request request;
        request_stage stage = request_stage::within_target;
    };
    /// The flow is the last element of each key, so that every process makes the same decisions for the same input.
    using time_index = absl::btree_set<std::pair<time_point, flow_key>>;
    using past_target_index = absl::btree_set<std::tuple<time_point, time_point, flow_key>>;
    /// Requests of one priority.
    struct priority_index
    {
        time_index byStartDeadline; ///< Within their target.
        time_index byNewest;        ///< Within their target, by negated arrival.
        time_index nearDeadline;    ///< By deadline.
    };
    /// Share of one priority.
    struct priority_share
    {
        double arrivals = 0; ///< Decayed count.
        time_point updatedAt;
        double credit = 0;            ///< Turns that it is behind its share.
        std::uint64_t lastServed = 0; ///< Last round that served a request within its target.
    };

    void insertIntoStage(const waiting_request &request, request_stage stage);
    void eraseFromStage(const waiting_request &request, request_stage stage);
    void advanceStages(time_point now);
    bool isWaiting(const priority_index &index, bool isNearDeadline) const;
    std::optional<std::uint32_t> mostUrgent(bool isNearDeadline) const;
    std::optional<std::uint32_t> longestUnserved() const;
    std::optional<std::uint32_t> behindItsShare(bool isNearDeadline) const;
    std::optional<flow_key> nextWithinTarget(bool isNewestFirst, bool keepsShares) const;
    std::optional<flow_key> nextNearDeadline(bool keepsShares) const;
    std::optional<flow_key> nextPastTarget() const;
    bool isNearDeadlineTurn(bool isOverloaded);
    void recordTurn(std::uint32_t priority, bool isWithinTarget);

    absl::flat_hash_map<flow_key, entry> m_waiting;
    absl::btree_map<std::uint32_t, priority_index> m_priorities; ///< Only those with requests in an index.
    absl::btree_map<std::uint32_t, priority_share> m_shares;
    time_index m_withinTarget;         ///< By start deadline.
    past_target_index m_pastTarget;    ///< By deadline and arrival.
    std::size_t m_nearDeadline = 0;    ///< Number of requests in that stage.
    time_index m_byDeadline;           ///< All requests.
    double m_nearDeadlineCredit = 0;   ///< Turns that requests near their deadline are due.
    bool m_isCapacityExceeded = false; ///< At the last arrival.
    std::uint64_t m_rounds = 0;
};

} // namespace citroncrank

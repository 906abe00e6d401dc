#pragma once

/// @file
/// Admission control at one agent: decides which reservations are granted a slot, queued or refused.

#include "citroncrank/frame.h"
#include "citroncrank/ids.h"
#include "citroncrank/member.h"
#include "citroncrank/time.h"

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace citroncrank {

/// Identifies one reservation at an agent.
struct reservation_key
{
    flow_id flow;
    edge_id edge = 0;
    auto operator<=>(const reservation_key &) const = default;

    template<typename H>
    friend H AbslHashValue(H state, const reservation_key &key) // NOLINT(readability-identifier-naming): Abseil's name
    {
        return H::combine(std::move(state), key.flow.high, key.flow.low, key.edge);
    }
};

/// Request of a flow for a slot (kind `request`) or a connection (kind `session`).
struct reservation
{
    flow_id flow;
    edge_id edge = 0;
    flow_class flowClass = flow_class::normal;
    flow_kind kind = flow_kind::request;
    time_point arrival;
    std::optional<time_point> deadline; ///< The response must be complete by then.
    std::uint8_t attempt = 0;           ///< Number of earlier opens of the flow at other agents.
    auto operator<=>(const reservation &) const = default;
};

inline reservation_key keyOf(const reservation &value)
{
    return {value.flow, value.edge};
}

/// The slot or connection is held until `release` or `cancel`.
struct granted
{
    auto operator<=>(const granted &) const = default;
};

/// The reservation waits; `advance` reports the outcome.
struct queued
{
    std::uint16_t position = 0; ///< Estimated number of reservations served before it, over all classes.
    auto operator<=>(const queued &) const = default;
};

/// The reservation was not accepted, or was dropped from the queue. The agent keeps no state of it.
struct refusal
{
    refusal_reason reason = refusal_reason::no_free_slot;
    std::chrono::milliseconds retryAfter{0}; ///< Shortest useful wait before a retry here; 0: retrying is of no use.
    auto operator<=>(const refusal &) const = default;
};

using admission_result = std::variant<granted, queued, refusal>;

/// Outcome of a queued reservation.
struct admission_event
{
    reservation_key key;
    std::variant<granted, refusal> outcome;
    auto operator<=>(const admission_event &) const = default;
};

struct admission_settings
{
    std::uint16_t slots = 1;       ///< Requests served at once.
    std::uint32_t connections = 1; ///< Sessions held at once.
    std::uint16_t queueLimit = 64; ///< Reservations waiting at once, over all classes.
    /// Weights of urgent, normal and bulk for slot time and queue places. A weight of 0 counts as 1, so that no
    /// class is starved.
    std::array<std::uint16_t, kFlowClassCount> classShares{60, 30, 10};
    /// Upper limit of the share of a class that usually uses more than its configured share, as a multiple of that
    /// share. It preserves the usual throughput of the class while another class is overloaded. 1 uses the configured
    /// shares.
    double maxShareFactor = 2.5;
    duration warmUp = std::chrono::seconds(30); ///< Time from `starting` to `ready` with all slots; 0 disables it.
    double warmUpFraction = 0.2;                ///< Fraction of the slots usable at the start of the warm-up, 0 to 1.
    duration initialServiceTime = std::chrono::milliseconds(50); ///< Initial value of the service time estimate.
    /// Added to the ranking deadline of a reservation for each earlier open of its flow at another agent. It keeps
    /// several agents from offering a slot to the same flow at once, because all but one of these slots stay idle until
    /// the cancel arrives. About two round trips between failure domains.
    duration attemptOffset = std::chrono::milliseconds(20);
    /// Time from arrival to the deadline that ranks reservations without a deadline of their own. They never expire.
    duration rankingDeadline = std::chrono::seconds(30);
    auto operator<=>(const admission_settings &) const = default;
};

/// Slots, connections and the waiting reservations of one upstream. Not thread safe; O(log n) per reservation.
///
/// Call `advance` after `request`, `release`, `cancel`, `setServing` and `setSettings`, and when `nextDeadline` is
/// reached: each of them can cause another reservation to be granted or refused.
class admission_queue
{
public:
    explicit admission_queue(const admission_settings &settings);
    ~admission_queue();
    admission_queue(admission_queue &&) noexcept;
    admission_queue &operator=(admission_queue &&) noexcept;

    /// Requests a slot or connection. Repeating a key that is granted or queued returns its present state.
    admission_result request(const reservation &value, time_point now);

    /// Ends a grant and adds its service time to the estimates. Returns false if the key holds no grant.
    bool release(const reservation_key &key, time_point now);

    /// Withdraws a queued reservation, or a grant that was never used. Returns false if the key is unknown.
    bool cancel(const reservation_key &key, time_point now);

    /// Returns the reservations granted or refused by `now`, in order.
    std::vector<admission_event> advance(time_point now);

    /// Time at which `advance` must be called even if no other event occurs.
    std::optional<time_point> nextDeadline() const;

    /// Changes the state of the upstream. Leaving `ready` refuses all queued reservations; entering it from
    /// `starting` begins the warm-up. Granted flows are not affected.
    void setServing(serving_state state, time_point now);

    /// Replaces the settings. Grants above a lowered capacity stay; reservations above a lowered queue limit stay.
    void setSettings(const admission_settings &settings);

    serving_state serving() const;
    /// Slots usable at `now`: 0 unless ready, fewer than configured during the warm-up.
    std::uint16_t usableSlots(time_point now) const;
    /// Load to report to balancers; `slots` is the usable number.
    load_report load(time_point now) const;
    /// Expected wait of a request that arrives at `now` and ranks last in its class.
    duration estimatedWait(flow_class flowClass, time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace citroncrank

#pragma once

/// @file
/// Whether the first request of a new flow can be answered before its caller times out. Used by the agent, which
/// refuses the opening otherwise, and by balancers that know it of all agents of a service. Performs no I/O.

#include "citroncrank/processing_model.h"
#include "citroncrank/time.h"

#include <absl/container/flat_hash_map.h>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace citroncrank {

/// Work that arrives at an upstream, as a decayed mean over about a second. Not thread safe.
class offered_load
{
public:
    /// Records a request that has arrived, or that would have if its flow had not been refused.
    void record(std::uint32_t priority, double processingMs, time_point now);
    /// Slots that the arriving requests would occupy. Above the number of slots requests pile up.
    double slotsNeeded(time_point now) const { return m_all.slotsNeeded(now); }
    /// The same for the requests of one priority.
    double slotsNeeded(std::uint32_t priority, time_point now) const;

private:
    struct decayed_work
    {
        double workMs = 0;
        time_point updatedAt;
        void record(double processingMs, time_point now);
        double slotsNeeded(time_point now) const;
    };

    decayed_work m_all;
    absl::flat_hash_map<std::uint32_t, decayed_work> m_priorities;
};

/// Requests at one upstream when an opening arrives.
struct upstream_backlog
{
    double slots = 1;
    double competing = 0;           ///< In progress, expected, or waiting and within their latency target.
    double pastTarget = 0;          ///< Waiting past their latency target.
    double slotsNeeded = 0;         ///< See offered_load.
    processing_estimate processing; ///< Of the requests of all kinds.
};

/// What the caller of a new request needs.
struct request_need
{
    double targetMs = 0;  ///< Time left until the latency target, from now to the upstream's answer. 0: none.
    double timeoutMs = 0; ///< Time left until the caller times out, from now to the upstream's answer. 0: unknown.
    processing_estimate processing; ///< Of this kind of request.
    double ownSlots = 0;            ///< Slots that requests of this priority keep in overload.
    double ownSlotsNeeded = 0;      ///< See offered_load.
    double ownWaiting = 0;          ///< Waiting requests of this priority within their target.
};

struct admission_estimate
{
    bool isAdmitted = true;
    double waitMs = 0; ///< Expected wait for a slot.
};

/// Estimates the wait of a new request. It is not admitted if the caller would very probably time out before the
/// answer, or if it would probably miss its target and the upstream has no turns left for requests past their target.
/// A priority that needs no more than its share is not refused on account of others. The spread of the processing times
/// is included.
admission_estimate estimateAdmission(const upstream_backlog &backlog, const request_need &need);

/// State of an agent that a balancer knows from a report.
struct reported_wait
{
    double waitMs = 0;       ///< Expected wait for a slot when the agent reported. 0: none, or not reported.
    double ageMs = 0;        ///< Of the report.
    double processingMs = 0; ///< Mean processing time of a request. 0: unknown.
};

/// Whether a request that is sent to the agent now cannot be answered before its caller's timeout even if the agent got
/// no request after its report.
bool isBeyondTimeout(const reported_wait &agent, double timeoutMs);

} // namespace citroncrank

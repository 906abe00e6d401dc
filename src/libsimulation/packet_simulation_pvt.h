#pragma once

/// @file
/// Seeded schedules of the packet path: callers, balancers, agents and upstreams on a simulated clock, with lost,
/// delayed and duplicated packets, and processes that are replaced.

#include "citroncrank/packet_agent.h"
#include "citroncrank/packet_balancer.h"
#include "citroncrank/standin_packet.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace citroncrank::simulation {

struct packet_schedule
{
    std::uint64_t seed = 1;
    std::size_t balancers = 2;
    std::size_t agents = 4; ///< The last one belongs to another service than the callers'.
    std::size_t callers = 4;
    double loss = 0;        ///< Probability that a datagram is lost.
    double duplication = 0; ///< Probability that a datagram arrives twice.
    duration maxDelay{0};   ///< Longest one-way delay of a datagram.
    bool replacesBalancers = false;
    bool restartsAgents = false;
    bool changesRouting = false;  ///< The routers move flows to other balancers.
    bool drainsUpstreams = false; ///< An upstream announces that it leaves, and another one replaces it.
    bool crashesUpstreams = false;
    /// Time after the start at which all hosts lose power for 1.1 s. 0: never.
    duration powerLossAfter{0};
    /// Time after the confirmation of its drain in which an upstream may still get new flows. P6 allows 3 s.
    duration drainGracePeriod = std::chrono::seconds(3);
    std::uint32_t requestsPerFlow = 8;
    duration firstRequestAfter{0}; ///< Callers begin no request before this time since the start.
    duration processingTime = std::chrono::milliseconds(5); ///< Of a request at an upstream.
    duration requestPause = std::chrono::milliseconds(20);  ///< Callers begin requests at multiples of this time.
    /// Agents store snapshots of their open flows and read them at their start.
    bool usesSnapshots = false;
    double storeLoss = 0.2; ///< Probability that a call to the store has no effect.
    /// Baseline: agents treat every snapshot as one of an upstream that has ended.
    bool baselineSnapshots = false;
    /// Baseline: balancers choose the agent of each packet by a hash over the available agents and keep no flow state.
    bool baselineBalancers = false;
};

/// Violations and counts of a schedule.
struct packet_outcome
{
    std::uint64_t answered = 0;
    std::uint64_t wrongAnswers = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t falseResets = 0;         ///< Resets of flows that were open at the caller and at a running upstream.
    std::uint64_t wrongServicePackets = 0; ///< Packets that reached an upstream of another service.
    std::uint64_t opensAfterDrain = 0;     ///< Opening packets that reached an upstream after its drain was confirmed.
    std::uint64_t restored = 0;            ///< Flows in snapshots that agents restored.
    std::uint64_t resetsAfterRecovery = 0; ///< Requests that began 1 s or more after power was restored and were reset.
    /// Requests answered in the first and second second after power was restored.
    std::array<std::uint64_t, 2> answeredAfterRecovery{};
    std::uint64_t ownerSearches = 0;     ///< Searches of balancers for the owner of a flow.
    std::uint64_t ownerQueries = 0;      ///< Owner queries that balancers sent.
    std::uint64_t maxExcessRequests = 0; ///< Most requests at an upstream at once, beyond its slots.

    std::uint64_t violations() const { return wrongAnswers + falseResets + wrongServicePackets + opensAfterDrain; }
};

/// Runs a schedule for `length` of simulated time, then without new requests until all requests have ended.
packet_outcome runPacketSchedule(const packet_schedule &schedule, duration length);

} // namespace citroncrank::simulation

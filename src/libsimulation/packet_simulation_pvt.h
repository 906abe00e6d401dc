#pragma once

/// @file
/// Seeded schedules of the packet plane: callers, balancers, agents and upstreams on an event clock, with packets that are
/// lost, late and doubled, and processes that are replaced.

#include "citroncrank/packet_agent.h"
#include "citroncrank/packet_balancer.h"
#include "citroncrank/standin_packet.h"

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
    double loss = 0;    ///< Chance that a datagram is lost.
    double doubled = 0; ///< Chance that it arrives twice.
    duration delay{0};  ///< Longest way of a datagram.
    bool replacesBalancers = false;
    bool restartsAgents = false;
    bool movesFlows = false;      ///< The routers send packets of a flow to another balancer.
    bool drainsUpstreams = false; ///< An upstream announces that it leaves, and another one replaces it.
    bool crashesUpstreams = false;
    /// All hosts are without power for a second from here on, counted from the start. 0: never.
    duration losesPowerAfter{0};
    /// An upstream may get new flows for this long after its drain was confirmed. P6 allows 3 s.
    duration drainTime = std::chrono::seconds(3);
    std::uint32_t requestsPerFlow = 8;
    duration requestPause = std::chrono::milliseconds(20); ///< Between two requests of a caller.
    /// Agents write their open flows down and read them at their start.
    bool keepsSnapshots = false;
    double storeLoss = 0.2; ///< Chance that a call to the store has no effect.
    /// Agents take every snapshot for one of an upstream that has ended.
    bool baselineSnapshots = false;
    /// Balancers choose the agent of each packet by a hash over the agents that they hear, and keep nothing.
    bool baselineBalancers = false;
};

/// What a schedule broke.
struct packet_outcome
{
    std::uint64_t answered = 0;
    std::uint64_t wrongAnswers = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t falseResets = 0;  ///< A flow was reset that a living upstream held and its caller had confirmed.
    std::uint64_t otherService = 0; ///< Packets that reached an upstream of another service.
    std::uint64_t afterDrain = 0;   ///< Opening packets that reached an upstream after its drain was confirmed.
    std::uint64_t restored = 0;     ///< Flows of snapshots that agents read.
    std::uint64_t lateLosses = 0;   ///< Requests that began a second or more after the power was back and met a reset.
    std::uint64_t overSlots = 0;    ///< Most requests at an upstream, beyond its slots.

    std::uint64_t violations() const { return wrongAnswers + falseResets + otherService + afterDrain; }
};

/// Runs a schedule for `length` of its own time, then until all requests have ended.
packet_outcome runPacketSchedule(const packet_schedule &schedule, duration length);

} // namespace citroncrank::simulation

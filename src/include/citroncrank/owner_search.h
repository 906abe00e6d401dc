#pragma once

/// @file
/// Search for the agent that owns a flow: which agents were queried or probed, and what they replied. Performs no I/O.

#include "citroncrank/ids.h"
#include "citroncrank/packet.h"
#include "citroncrank/time.h"

#include <absl/container/btree_map.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citroncrank {

/// Agents that are queried, in this order. A later step begins when the agents of the earlier ones have denied.
enum class search_step : std::uint8_t {
    likely,  ///< Agents of the flow's service to which its key leads.
    service, ///< All agents of the service.
    all,     ///< Agents of all services, since the flow's route may have changed.
};

const char *toString(search_step step);

/// What an agent has replied to the query for an owner.
enum class owner_reply : std::uint8_t {
    none,
    uncertain, ///< Only its upstream can show whether it holds the flow.
    probed,    ///< Uncertain, and was sent the packet to test its upstream.
    denied,
};
constexpr int kOwnerReplyCount = 4;

/// Most queries and probes that one search sends to one agent.
constexpr std::uint8_t kMaxQueriesPerAgent = 5;
constexpr std::uint8_t kMaxProbesPerAgent = 3;
/// Duration of a search. Packets of the flow that arrive meanwhile join it. Longer than the time after which silent
/// agents no longer count as possible owners, so that a flow without an owner is detected by its first search.
constexpr duration kSearchTimeout = std::chrono::seconds(2);
/// Shortest time between the starts of two searches for a flow.
constexpr duration kSearchPause = std::chrono::seconds(1);

/// Packet of a flow whose owner is searched for.
struct searched_packet
{
    packet content;
    time_point arrivedAt; ///< Of its last copy.
};

/// Search for the owner of one flow. Ends after a bounded number of messages. Not thread safe.
class owner_search
{
public:
    /// Starts with the caller's packet. Nothing is sent before `beginsAt`.
    owner_search(packet arrived, time_point beginsAt, time_point now);

    /// Adds a further packet of the flow. Returns false and changes nothing if it belongs to another flow with the same
    /// key.
    bool join(packet arrived, time_point now);

    /// Records a query. `isAwaited`: the agent reports, so its reply is waited for before the search goes on.
    void recordQuery(const host_address &agent, bool isAwaited, time_point now);
    void recordDenial(const host_address &agent);
    void recordUncertain(const host_address &agent, time_point now);
    /// Records that the agent's upstream held the flow before the agent restarted.
    void recordExpected(const host_address &agent, time_point now);
    void recordProbe(const host_address &agent, time_point now);
    void beginStep(search_step step, time_point now);
    /// Records that the agents of the step were queried, as known at this version of the agent directory.
    void markStepQueried(std::uint64_t directoryVersion) { m_queriedVersion = directoryVersion; }
    bool isStepQueried(std::uint64_t directoryVersion) const { return m_queriedVersion == directoryVersion; }
    /// Whether the directory has changed since the last call.
    bool takeDirectoryChange(std::uint64_t directoryVersion);
    /// Agents whose replies or returned packets are overdue and that may be queried again now. The pause before the next
    /// query to an agent doubles each time.
    std::vector<host_address> dueRepetitions(time_point now);

    bool isQueried(const host_address &agent) const { return m_agents.contains(agent); }
    bool hasDenied(const host_address &agent) const { return hasReply(agent, owner_reply::denied); }
    bool isProbed(const host_address &agent) const { return hasReply(agent, owner_reply::probed); }
    bool isUncertain(const host_address &agent) const { return hasReply(agent, owner_reply::uncertain); }
    std::size_t queriedCount() const { return m_agents.size(); }
    std::size_t deniedCount() const { return count(owner_reply::denied); }
    /// Number of queried agents that have not denied.
    std::size_t remainingCount() const { return queriedCount() - deniedCount(); }
    /// Number of queried agents whose last reply is this one.
    std::size_t count(owner_reply reply) const { return m_counts[std::size_t(reply)]; }
    std::vector<host_address> agentsWithReply(owner_reply reply) const;

    search_step step() const { return m_step; }
    time_point startedAt() const { return m_startedAt; }
    bool isRunning(time_point now) const { return now - m_startedAt < kSearchTimeout; }
    /// Whether an awaited reply may still arrive. One that is missing after a round trip counts as lost.
    bool isReplyMissing(time_point now) const;
    /// Whether an upstream that was sent the packet may still answer or return it.
    bool isProbePending(time_point now) const;
    /// Agent that is expected to own the flow and has not denied it.
    std::optional<host_address> expectedOwner() const { return m_expectedOwner; }
    /// The only agent that has not denied, if its upstream has neither answered nor returned any of the probes in time.
    std::optional<host_address> remainingOwner(time_point now) const;

    /// Packet for probes: one with data if there is one, since an upstream that holds the flow answers only data.
    const packet &probePacket() const { return m_packets[m_probeIndex].content; }
    const packet &newestPacket() const { return m_packets.back().content; }
    /// Moves out the packets, in order of arrival, that are still to be sent to the owner.
    std::vector<std::string> takePackets(const host_address &owner, time_point now);

private:
    struct agent_entry
    {
        owner_reply reply = owner_reply::none;
        std::uint8_t queries = 0;
        std::uint8_t probes = 0;
        bool isAwaited = false;
        bool hasProbePacket = false; ///< Its last probe was probePacket().
        time_point askedAt;          ///< Of the last query or probe.
        time_point probedAt;
    };

    bool hasReply(const host_address &agent, owner_reply reply) const;
    void setReply(agent_entry *entry, owner_reply reply);
    agent_entry &entryOf(const host_address &agent);

    /// Ordered, so that every process makes the same decisions for the same input.
    absl::btree_map<host_address, agent_entry> m_agents;
    std::array<std::size_t, kOwnerReplyCount> m_counts{};
    std::size_t m_awaitedCount = 0;
    std::vector<searched_packet> m_packets; ///< In order of arrival, never empty.
    std::size_t m_probeIndex = 0;
    search_step m_step = search_step::likely;
    time_point m_startedAt;
    time_point m_stepBeganAt;
    time_point m_lastProbeAt;
    std::optional<host_address> m_expectedOwner;
    std::optional<std::uint64_t> m_queriedVersion;
    std::uint64_t m_seenVersion = 0;
    time_point m_repeatAt; ///< No repetition is due before.
};

} // namespace citroncrank

#include "citroncrank/owner_search.h"

#include "packet_balancer_pvt.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace citroncrank {

namespace {

using std::chrono::milliseconds;

// Pause before an unanswered query is repeated for the first time.
constexpr duration kFirstRepeatDelay = milliseconds(100);
// An upstream returns a packet of a flow that it does not hold at once; a slow link or a busy host delays it.
constexpr duration kReturnTimeout = milliseconds(100);
// If all probed upstreams but one have returned the packet, that one probably holds the flow, and may answer only when it
// has processed the request.
constexpr duration kAnswerTimeout = milliseconds(200);
// A probe that has shown nothing by then was lost, waits for a free slot, or is processed.
constexpr duration kProbeRetryDelay = kReturnTimeout;
// A caller retransmits its packet sooner than this. Older copies must not reach an upstream.
constexpr duration kMaxPacketAge = std::chrono::seconds(1);
// Callers have at most this many packets in flight.
constexpr std::size_t kMaxPackets = 17;
// Packets of one flow within one search differ by less than this in their sequence numbers, also in fast transfers.
constexpr std::int32_t kMaxSequenceSpread = 1 << 22;

bool isNear(std::uint32_t left, std::uint32_t right)
{
    const auto distance = std::int32_t(left - right);
    return distance < kMaxSequenceSpread && distance > -kMaxSequenceSpread;
}

// A caller that reuses the key for another flow draws other initial sequence numbers.
bool isSameFlow(const packet_header &left, const packet_header &right)
{
    return isNear(left.sequence, right.sequence)
           && (!left.acknowledges || !right.acknowledges || isNear(left.acknowledged, right.acknowledged));
}

} // namespace

const char *toString(search_step step)
{
    switch (step) {
    case search_step::likely:
        return "likely";
    case search_step::service:
        return "service";
    case search_step::all:
        return "all";
    }
    return "unknown";
}

owner_search::owner_search(packet arrived, time_point beginsAt, time_point now)
    : m_packets{{std::move(arrived), now}}
    , m_startedAt(beginsAt)
    , m_stepBeganAt(beginsAt)
    , m_repeatAt(beginsAt + kFirstRepeatDelay)
{}

bool owner_search::join(packet arrived, time_point now)
{
    if (!isSameFlow(newestPacket().header, arrived.header))
        return false;
    const auto known = std::find_if(m_packets.begin(), m_packets.end(), [&](const searched_packet &earlier) {
        return earlier.content.bytes == arrived.bytes;
    });
    if (known != m_packets.end()) {
        known->arrivedAt = now;
        return true;
    }
    if (m_packets.size() >= kMaxPackets)
        return true;
    m_packets.push_back({std::move(arrived), now});
    if (probePacket().header.dataBytes > 0 || newestPacket().header.dataBytes == 0)
        return true;
    // Upstreams that were probed without data and did not return the packet are probed again with data.
    m_probeIndex = m_packets.size() - 1;
    for (auto &[agent, entry] : m_agents) {
        entry.hasProbePacket = false;
        if (entry.reply == owner_reply::probed && entry.probes < kMaxProbesPerAgent)
            setReply(&entry, owner_reply::uncertain);
    }
    return true;
}

void owner_search::beginStep(search_step step, time_point now)
{
    m_step = step;
    m_stepBeganAt = now;
    m_queriedVersion = std::nullopt;
}

bool owner_search::takeDirectoryChange(std::uint64_t directoryVersion)
{
    return std::exchange(m_seenVersion, directoryVersion) != directoryVersion;
}

owner_search::agent_entry &owner_search::entryOf(const host_address &agent)
{
    const auto [found, isNew] = m_agents.try_emplace(agent);
    if (isNew)
        ++m_counts[std::size_t(owner_reply::none)];
    return found->second;
}

void owner_search::setReply(agent_entry *entry, owner_reply reply)
{
    --m_counts[std::size_t(std::exchange(entry->reply, reply))];
    ++m_counts[std::size_t(reply)];
    if (std::exchange(entry->isAwaited, false))
        --m_awaitedCount;
}

void owner_search::recordQuery(const host_address &agent, bool isAwaited, time_point now)
{
    agent_entry &entry = entryOf(agent);
    if (entry.queries == 0 && isAwaited && entry.reply == owner_reply::none) {
        entry.isAwaited = true;
        ++m_awaitedCount;
    }
    ++entry.queries;
    entry.askedAt = now;
}

void owner_search::recordExpected(const host_address &agent, time_point now)
{
    recordUncertain(agent, now);
    if (!hasDenied(agent))
        m_expectedOwner = agent;
}

void owner_search::recordDenial(const host_address &agent)
{
    if (m_expectedOwner == agent)
        m_expectedOwner = std::nullopt;
    setReply(&entryOf(agent), owner_reply::denied);
}

void owner_search::recordUncertain(const host_address &agent, time_point now)
{
    agent_entry &entry = entryOf(agent);
    const bool isProbeLost = entry.reply == owner_reply::probed && entry.probes < kMaxProbesPerAgent
                             && now - entry.probedAt >= kProbeRetryDelay;
    if (entry.reply == owner_reply::none || isProbeLost)
        setReply(&entry, owner_reply::uncertain);
}

void owner_search::recordProbe(const host_address &agent, time_point now)
{
    agent_entry &entry = entryOf(agent);
    setReply(&entry, owner_reply::probed);
    ++entry.probes;
    entry.hasProbePacket = true;
    entry.probedAt = now;
    entry.askedAt = now;
    m_lastProbeAt = now;
}

bool owner_search::isReplyMissing(time_point now) const
{
    return m_awaitedCount > 0 && now - m_stepBeganAt < kOwnerQueryTimeout;
}

bool owner_search::isProbePending(time_point now) const
{
    const std::size_t probed = count(owner_reply::probed);
    return probed > 0 && now - m_lastProbeAt < (probed == 1 ? kAnswerTimeout : kReturnTimeout);
}

std::optional<host_address> owner_search::remainingOwner(time_point now) const
{
    const bool isLast = m_step == search_step::all && remainingCount() == 1 && count(owner_reply::probed) == 1;
    if (!isLast || isProbePending(now))
        return std::nullopt;
    const auto last = std::find_if(m_agents.begin(), m_agents.end(),
                                   [](const auto &entry) { return entry.second.reply == owner_reply::probed; });
    return last->second.probes >= kMaxProbesPerAgent ? std::optional(last->first) : std::nullopt;
}

std::vector<host_address> owner_search::dueRepetitions(time_point now)
{
    std::vector<host_address> due;
    const bool isUnanswered = count(owner_reply::none) + count(owner_reply::probed) > 0;
    if (!isUnanswered || now < m_repeatAt)
        return due;
    m_repeatAt = now + kFirstRepeatDelay;
    for (const auto &[agent, entry] : m_agents) {
        const bool isOpen = entry.reply == owner_reply::none || entry.reply == owner_reply::probed;
        if (!isOpen || entry.queries == 0 || entry.queries >= kMaxQueriesPerAgent)
            continue;
        const time_point dueAt = entry.askedAt + kFirstRepeatDelay * (1 << (entry.queries - 1));
        if (dueAt <= now)
            due.push_back(agent);
        else
            m_repeatAt = std::min(m_repeatAt, dueAt);
    }
    return due;
}

bool owner_search::hasReply(const host_address &agent, owner_reply reply) const
{
    const auto found = m_agents.find(agent);
    return found != m_agents.end() && found->second.reply == reply;
}

std::vector<host_address> owner_search::agentsWithReply(owner_reply reply) const
{
    std::vector<host_address> agents;
    for (const auto &[agent, entry] : m_agents) {
        if (entry.reply == reply)
            agents.push_back(agent);
    }
    return agents;
}

std::vector<std::string> owner_search::takePackets(const host_address &owner, time_point now)
{
    const auto probed = m_agents.find(owner);
    const bool hasProbePacket = probed != m_agents.end() && probed->second.hasProbePacket;
    std::vector<std::string> packets;
    for (std::size_t i = 0; i < m_packets.size(); ++i) {
        const bool isSent = i == m_probeIndex && hasProbePacket;
        if (!isSent && now - m_packets[i].arrivedAt <= kMaxPacketAge)
            packets.push_back(std::move(m_packets[i].content.bytes));
    }
    return packets;
}

} // namespace citroncrank

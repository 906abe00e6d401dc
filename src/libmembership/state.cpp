#include "membership_state_pvt.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace citroncrank {

namespace {

/// Interval between flushes, so that urgent updates within it share datagrams.
constexpr duration kUrgentCoalescing = std::chrono::milliseconds(20);
constexpr double kUrgentBurstDatagrams = 8;
constexpr duration kMaintenancePeriod = std::chrono::seconds(10);
/// Wait for the first response of a seed, doubled at each attempt: the transfer of a table of thousands of members
/// takes time.
constexpr duration kJoinRetryDelay = std::chrono::seconds(1);
/// Contacts of seeds without a reachable member at the interval kJoinRetryDelay. Nodes that start together are up after
/// these, so later contacts use kSeedContactPeriod.
constexpr int kFrequentSeedContacts = 8;
constexpr duration kSeedContactPeriod = std::chrono::seconds(10);

} // namespace

membership::state::state(member_record localRecord, membership_settings chosen, std::uint64_t seed, time_point now)
    : local(std::move(localRecord))
    , settings(chosen)
    , m_random(hashPair(seed, memberNodeId(local)))
    , m_sequence(m_random() >> 16U)
    , m_urgentTokens(kUrgentBurstDatagrams)
    , m_syncTokens(double(settings.syncBurstBytes))
    , m_tokensAt(now)
    , m_syncTokensAt(now)
    , m_periodAt(now + duration(std::int64_t(m_random() % std::uint64_t(settings.probePeriod.count()))))
    , m_flushAt(now)
    , m_syncAt(now)
    , m_maintenanceAt(now + kMaintenancePeriod)
    , m_seedContactAt(now + kJoinRetryDelay)
    , m_unreachableProbeAt(now + settings.unreachableProbePeriod)
    , m_nextNoticeAt(now)
    , m_rosterAt(now)
{
    local.state = member_state::alive;
    queueLocalRecord(0);
}

int membership::state::maxSends() const
{
    return settings.transmitFactor * int(std::bit_width(table.liveCount() + 1));
}

duration membership::state::suspicionTime() const
{
    // An update reaches all n members in about log2(n)/2 probe periods; two more leave time for the refutation. The
    // lower bound on n is for a node that has just started and knows few members of a large group.
    constexpr std::size_t kSmallestSize = 64;
    const double size = double(std::max(table.liveCount() + 1, kSmallestSize));
    return duration(std::int64_t(double(settings.probePeriod.count()) * (2.0 + std::log2(size) / 2)));
}

void membership::state::tick(time_point now)
{
    detectPause(now);
    if (now >= m_periodAt)
        startPeriod(now);
    else if (m_probe && !m_probe->repeated && now >= m_probe->startedAt + settings.probeTimeout)
        repeatProbe();
    if (now >= m_nextSuspicionAt)
        expireSuspicions(now);
    if (now >= m_unreachableProbeAt)
        probeUnreachable(now);
    if (now >= m_syncAt) {
        startSync(now);
        const auto jitter = duration(std::int64_t(m_random() % std::uint64_t(settings.syncPeriod.count())));
        m_syncAt =
            now + (m_joined ? settings.syncPeriod / 2 + jitter : kJoinRetryDelay * (1 << std::min(m_syncAttempts, 5)));
    }
    if (now >= m_seedContactAt) {
        contactSeedWithoutMember();
        m_seedContactAt = now + (++m_seedContacts < kFrequentSeedContacts ? kJoinRetryDelay : kSeedContactPeriod);
    }
    if (now >= m_maintenanceAt) {
        runMaintenance(now);
        m_maintenanceAt = now + kMaintenancePeriod;
    }
    if (m_queue.hasUrgent() && now >= m_flushAt)
        flushUrgent(now);
}

void membership::state::scheduleJoin()
{
    m_joined = false;
    m_syncAttempts = 0;
    m_syncAt = time_point();
}

// Nodes that start at the same time read the roster before all of them are in it and form separate groups. Contacts
// with new seeds merge these groups.
void membership::state::scheduleSeedContact()
{
    m_seedContacts = 0;
    m_seedContactAt = time_point();
}

time_point membership::state::nextDeadline() const
{
    auto result =
        std::min({m_periodAt, m_nextSuspicionAt, m_syncAt, m_maintenanceAt, m_seedContactAt, m_unreachableProbeAt});
    if (m_probe && !m_probe->repeated)
        result = std::min(result, m_probe->startedAt + settings.probeTimeout);
    if (m_queue.hasUrgent())
        result = std::min(result, m_flushAt);
    return result;
}

void membership::state::changeLocal(const local_change &change, time_point now)
{
    const auto before = local;
    local.serving = change.serving.value_or(local.serving);
    local.slots = change.slots.value_or(local.slots);
    local.connections = change.connections.value_or(local.connections);
    // A new configuration revision is not queued as an update: 700 revisions per day times 4,630 records would exceed
    // the traffic budget. The header of each message carries the revision instead.
    const bool recordChanged = local != before;
    local.configRevision = std::max(local.configRevision, change.configRevision.value_or(0));
    if (!recordChanged || local.state != member_state::alive)
        return;
    raiseVersion(local.version, local.serving != before.serving ? settings.urgentFanout : 0);
    flushUrgent(now);
}

void membership::state::leaveGroup(time_point now)
{
    if (local.state == member_state::left)
        return;
    local.state = member_state::left;
    raiseVersion(local.version, settings.urgentFanout);
    flushUrgent(now);
}

gossip_message membership::state::newMessage(gossip_kind kind)
{
    return {.kind = kind,
            .sequence = ++m_sequence,
            .sender = local.name,
            .senderAddress = local.address,
            .configRevision = local.configRevision};
}

void membership::state::send(const host_address &to, const std::string &receiver, gossip_message message)
{
    // The record of a receiver that is not considered alive goes first, so that the receiver can refute it.
    const auto *entry = table.find(nodeIdFromName(receiver));
    if (entry != nullptr && entry->record.state != member_state::alive)
        message.records.push_back(compactRecord(entry->record));
    m_queue.fill(&message, settings.datagramBytes, maxSends());
    actions.emplace_back(send_gossip{to, std::move(message), false});
}

void membership::state::sendRecord(const host_address &to, const std::string &receiver, const member_record &record)
{
    auto message = newMessage(gossip_kind::sync_records);
    message.records.push_back(compactRecord(record));
    m_queue.fill(&message, settings.datagramBytes, maxSends());
    actions.emplace_back(send_gossip{to, std::move(message), false});
}

void membership::state::refillTokens(time_point now)
{
    const double seconds = std::chrono::duration<double>(now - m_tokensAt).count();
    m_urgentTokens = std::min(kUrgentBurstDatagrams, m_urgentTokens + seconds * settings.urgentDatagramsPerSecond);
    m_tokensAt = now;
}

void membership::state::flushUrgent(time_point now)
{
    refillTokens(now);
    std::vector<const member_entry *> receivers;
    while (m_queue.hasUrgent() && m_urgentTokens >= 1 && receivers.size() < std::size_t(settings.urgentFanout)) {
        const auto *entry = table.randomMember(m_random, [&receivers](const member_entry &candidate) {
            return std::find(receivers.begin(), receivers.end(), &candidate) == receivers.end();
        });
        if (entry == nullptr)
            break;
        receivers.push_back(entry);
        m_urgentTokens -= 1;
        send(entry->record.address, entry->record.name, newMessage(gossip_kind::sync_records));
    }
    const bool outOfTokens = m_urgentTokens < 1;
    const auto refill = duration(std::chrono::seconds(1)) / std::max(1, settings.urgentDatagramsPerSecond);
    m_flushAt = now + (outOfTokens ? refill : receivers.empty() ? settings.probePeriod : kUrgentCoalescing);
}

} // namespace citroncrank

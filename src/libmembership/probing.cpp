#include "membership_state_pvt.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace citroncrank {

namespace {

/// Number of recent probes whose failures decide whether this node is degraded.
constexpr int kHealthProbes = 8;
constexpr int kMinHealthProbes = 4;
/// Factor by which a degraded node lengthens its probe period.
constexpr int kDegradedFactor = 3;
/// A tick or message that comes this long after a deadline shows that the process was paused.
constexpr duration kPauseThreshold = std::chrono::seconds(2);

} // namespace

bool membership::state::isDegraded() const
{
    return m_outcomeCount >= kMinHealthProbes && std::popcount(m_outcomes) * 2 > m_outcomeCount;
}

void membership::state::recordProbeOutcome(bool answered)
{
    m_outcomes = ((m_outcomes << 1U) | (answered ? 0U : 1U)) & ((1U << unsigned(kHealthProbes)) - 1);
    m_outcomeCount = std::min(m_outcomeCount + 1, kHealthProbes);
    counters.probesFailed += answered ? 0 : 1;
}

void membership::state::startPeriod(time_point now)
{
    finishProbe(now);
    const auto period = settings.probePeriod * (isDegraded() ? kDegradedFactor : 1);
    m_periodAt = std::max(m_periodAt + period, now + period / 2);
    if (local.state == member_state::left)
        return;
    const auto *entry = table.nextProbed(m_random);
    if (entry == nullptr)
        return;
    m_probe = active_probe{.id = memberNodeId(entry->record),
                           .name = entry->record.name,
                           .address = entry->record.address,
                           .sequence = ++m_sequence,
                           .startedAt = now};
    ++counters.probes;
    sendProbe(m_probe->address, m_probe->name, m_probe->sequence);
}

void membership::state::finishProbe(time_point now)
{
    if (!m_probe)
        return;
    const auto probe = *std::exchange(m_probe, std::nullopt);
    auto *entry = table.find(probe.id);
    // A member that died, was replaced or left during the probe says nothing about the health of this node.
    if (entry == nullptr || !entry->reachable() || entry->record.address != probe.address)
        return;
    const bool answered = probe.answered || entry->lastHeardAt >= probe.startedAt;
    recordProbeOutcome(answered);
    if (!answered)
        suspect(*entry, now);
}

/// Repeats the direct probe, because a lost datagram is more likely than a dead member, and requests indirect probes,
/// if possible from members of other failure domains.
void membership::state::repeatProbe()
{
    m_probe->repeated = true;
    const auto *target = table.find(m_probe->id);
    if (m_probe->answered || target == nullptr || !target->live())
        return;
    sendProbe(m_probe->address, m_probe->name, m_probe->sequence);
    std::vector<const member_entry *> relays;
    const auto usable = [&](const member_entry &entry) {
        return &entry != target && std::find(relays.begin(), relays.end(), &entry) == relays.end();
    };
    const auto inOtherDomain = [&](const member_entry &entry) {
        return usable(entry) && entry.record.domain != local.domain && entry.record.domain != target->record.domain
               && std::none_of(relays.begin(), relays.end(), [&entry](const member_entry *relay) {
                      return relay->record.domain == entry.record.domain;
                  });
    };
    for (int relay = 0; relay < settings.indirectProbes; ++relay) {
        const auto *entry = table.randomMember(m_random, inOtherDomain);
        if (entry == nullptr)
            entry = table.randomMember(m_random, usable);
        if (entry == nullptr)
            return;
        relays.push_back(entry);
        auto message = newMessage(gossip_kind::indirect_probe);
        message.sequence = m_probe->sequence;
        message.target = m_probe->name;
        message.targetAddress = m_probe->address;
        send(entry->record.address, entry->record.name, std::move(message));
    }
}

void membership::state::sendProbe(const host_address &to, const std::string &target, std::uint64_t sequence)
{
    auto message = newMessage(gossip_kind::probe);
    message.sequence = sequence;
    message.target = target;
    send(to, target, std::move(message));
}

/// Probes one random member that is unreachable or was declared dead, to detect the end of a partition.
void membership::state::probeUnreachable(time_point now)
{
    m_unreachableProbeAt = now + settings.unreachableProbePeriod;
    if (local.state == member_state::left)
        return;
    const member_entry *chosen = nullptr;
    std::uint64_t seen = 0;
    for (const auto &[id, entry] : table.entries()) {
        const bool isLost = entry->unreachable || entry->record.state == member_state::dead;
        if (isLost && m_random() % ++seen == 0)
            chosen = entry.get();
    }
    if (chosen != nullptr)
        sendProbe(chosen->record.address, chosen->record.name, ++m_sequence);
}

/// Restarts the suspicion times after a pause of the process: refutations may still be in the receive queue.
void membership::state::detectPause(time_point now)
{
    if (now <= nextDeadline() + kPauseThreshold)
        return;
    ++counters.pausesDetected;
    m_probe.reset();
    m_periodAt = now + settings.probePeriod;
    m_nextSuspicionAt = time_point::max();
    for (const node_id id : m_suspects) {
        auto *entry = table.find(id);
        if (entry == nullptr)
            continue;
        entry->suspectedAt = now;
        entry->suspectUntil = now + suspicionTime();
        m_nextSuspicionAt = std::min(m_nextSuspicionAt, entry->suspectUntil);
    }
    const auto postpone = [now](time_point &deadline) { deadline = std::max(deadline, now); };
    postpone(m_syncAt);
    postpone(m_maintenanceAt);
    postpone(m_seedContactAt);
    postpone(m_unreachableProbeAt);
    postpone(m_flushAt);
}

} // namespace citroncrank

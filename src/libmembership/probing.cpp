#include "membership_state_pvt.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace citroncrank {

namespace {

/// Probes that the health of this node is judged by.
constexpr int kHealthProbes = 8;
constexpr int kMinHealthProbes = 4;
/// A degraded node probes this many times more slowly.
constexpr int kDegradedFactor = 3;
/// A tick that is late by more than this is taken as a pause of the process.
constexpr duration kPause = std::chrono::seconds(2);

} // namespace

bool membership::state::isDegraded() const
{
    return m_outcomeCount >= kMinHealthProbes && std::popcount(m_outcomes) * 2 > m_outcomeCount;
}

void membership::state::noteOutcome(bool answered)
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
    m_probe = active_probe{.id = idOf(entry->record),
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
    // A member that died, was replaced or left in the meantime says nothing about the health of this node.
    if (entry == nullptr || !entry->reachable() || entry->record.address != probe.address)
        return;
    const bool answered = probe.answered || entry->lastHeardAt >= probe.startedAt;
    noteOutcome(answered);
    if (!answered)
        suspect(*entry, now);
}

/// A lost datagram is more likely than a dead member: the direct probe is sent once more, beside the indirect ones.
void membership::state::repeatProbe()
{
    m_probe->repeated = true;
    const auto *target = table.find(m_probe->id);
    if (m_probe->answered || target == nullptr || !target->live())
        return;
    sendProbe(m_probe->address, m_probe->name, m_probe->sequence);
    std::vector<const member_entry *> helpers;
    const auto usable = [&](const member_entry &entry) {
        return &entry != target && std::find(helpers.begin(), helpers.end(), &entry) == helpers.end();
    };
    const auto elsewhere = [&](const member_entry &entry) {
        return usable(entry) && entry.record.domain != local.domain && entry.record.domain != target->record.domain
               && std::none_of(helpers.begin(), helpers.end(), [&entry](const member_entry *helper) {
                      return helper->record.domain == entry.record.domain;
                  });
    };
    for (int helper = 0; helper < settings.indirectProbes; ++helper) {
        const auto *entry = table.randomMember(m_random, elsewhere);
        if (entry == nullptr)
            entry = table.randomMember(m_random, usable);
        if (entry == nullptr)
            return;
        helpers.push_back(entry);
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

/// Probes one member that is unreachable or was declared dead, so that a healed partition is found.
void membership::state::probeUnreachable(time_point now)
{
    m_unreachableProbeAt = now + settings.unreachableProbePeriod;
    if (local.state == member_state::left)
        return;
    const member_entry *chosen = nullptr;
    std::uint64_t seen = 0;
    for (const auto &[id, entry] : table.entries()) {
        const bool lost = entry->unreachable || entry->record.state == member_state::dead;
        if (lost && m_random() % ++seen == 0)
            chosen = entry.get();
    }
    if (chosen != nullptr)
        sendProbe(chosen->record.address, chosen->record.name, ++m_sequence);
}

/// After a pause the suspicions of this node are out of date: refutations may wait in the receive queue.
void membership::state::noticePause(time_point now)
{
    if (now <= nextDeadline() + kPause)
        return;
    ++counters.pausesNoticed;
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
    const auto later = [now](time_point &deadline) { deadline = std::max(deadline, now); };
    later(m_syncAt);
    later(m_upkeepAt);
    later(m_seedContactAt);
    later(m_unreachableProbeAt);
    later(m_flushAt);
}

} // namespace citroncrank

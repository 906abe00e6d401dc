#include "membership_state_pvt.h"

#include <algorithm>

namespace citroncrank {

namespace {

/// Shortest interval between notices to members that are reachable again. Each notice makes its receiver raise its
/// version, and that update is disseminated to the whole group.
constexpr duration kMinNoticeInterval = std::chrono::seconds(5);

} // namespace

void membership::state::suspect(member_entry &entry, time_point now)
{
    if (entry.record.state != member_state::alive)
        return;
    ++counters.suspicionsRaised;
    const auto before = entry.record;
    table.change(
        entry, [](member_entry &changedEntry) { changedEntry.record.state = member_state::suspect; }, m_random);
    beginSuspicion(entry, now);
    // A degraded node does not disseminate the suspicion, since the fault is probably its own.
    if (!isDegraded())
        m_queue.put(entry.record, 0);
    sendRecord(entry.record.address, entry.record.name, entry.record);
    addMemberChanged(before, entry);
}

void membership::state::beginSuspicion(member_entry &entry, time_point now)
{
    entry.suspectedAt = now;
    entry.suspectUntil = now + suspicionTime();
    m_nextSuspicionAt = std::min(m_nextSuspicionAt, entry.suspectUntil);
    const node_id id = memberNodeId(entry.record);
    if (std::find(m_suspects.begin(), m_suspects.end(), id) == m_suspects.end())
        m_suspects.push_back(id);
}

void membership::state::expireSuspicions(time_point now)
{
    const auto suspects = m_suspects;
    for (const node_id id : suspects) {
        auto *entry = table.find(id);
        if (entry != nullptr && entry->record.state == member_state::suspect && now >= entry->suspectUntil)
            endSuspicion(*entry, now);
    }
    m_nextSuspicionAt = time_point::max();
    std::erase_if(m_suspects, [this](node_id id) {
        const auto *entry = table.find(id);
        const bool over = entry == nullptr || entry->record.state != member_state::suspect;
        if (!over)
            m_nextSuspicionAt = std::min(m_nextSuspicionAt, entry->suspectUntil);
        return over;
    });
}

/// Whether no message came from any member of the region in the last half of the suspicion time. From a region that is
/// up, a probe or an ack arrives about once per second.
bool membership::state::isRegionSilent(const member_entry &entry, time_point now)
{
    return table.region(entry.record.region, now).lastHeardAt + suspicionTime() / 2 < now;
}

bool membership::state::shouldDeferDeath(const member_entry &entry, bool silent)
{
    const auto &region = table.region(entry.record.region, entry.suspectedAt);
    return silent || isDegraded() || region.unhealthy * 2 > region.members;
}

void membership::state::endSuspicion(member_entry &entry, time_point now)
{
    if (entry.lastHeardAt > entry.suspectedAt) {
        // A message came from the member during the suspicion, so it is alive and its refutation was lost.
        beginSuspicion(entry, now);
        sendRecord(entry.record.address, entry.record.name, entry.record);
        return;
    }
    const bool silent = isRegionSilent(entry, now);
    if (shouldDeferDeath(entry, silent))
        return markUnreachable(entry, now, silent);
    ++counters.deathsDeclared;
    auto record = entry.record;
    record.state = member_state::dead;
    replaceRecord(entry, record, now);
}

void membership::state::markUnreachable(member_entry &entry, time_point now, bool silent)
{
    ++counters.markedUnreachable;
    const auto before = entry.record;
    table.change(
        entry,
        [now](member_entry &changedEntry) {
            changedEntry.record.state = member_state::alive;
            changedEntry.unreachable = true;
            changedEntry.unreachableSince = now;
        },
        m_random);
    if (silent)
        table.region(entry.record.region, now).silent = true;
    m_queue.drop(memberNodeId(entry.record));
    addMemberChanged(before, entry);
}

void membership::state::recordContact(member_entry &entry, time_point now)
{
    auto &region = table.region(entry.record.region, now);
    region.lastHeardAt = now;
    entry.lastHeardAt = now;
    if (!entry.unreachable)
        return;
    if (region.silent) {
        // The region as a whole is reachable again. Normal probing detects members that are not.
        region.silent = false;
        for (const auto &[id, other] : table.entries())
            if (other->unreachable && other->record.region == entry.record.region)
                clearUnreachable(*other);
        return;
    }
    clearUnreachable(entry);
    if (isDegraded() || now < m_nextNoticeAt)
        return;
    // Other nodes may also have marked the member unreachable. The suspicion makes it send a refutation, which clears
    // the mark there.
    m_nextNoticeAt = now + kMinNoticeInterval;
    auto notice = entry.record;
    notice.state = member_state::suspect;
    sendRecord(entry.record.address, entry.record.name, notice);
}

void membership::state::clearUnreachable(member_entry &entry)
{
    const auto before = entry.record;
    table.change(
        entry, [](member_entry &changedEntry) { changedEntry.unreachable = false; }, m_random);
    addMemberChanged(before, entry);
}

} // namespace citroncrank

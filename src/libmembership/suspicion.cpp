#include "membership_state_pvt.h"

#include <algorithm>

namespace citroncrank {

namespace {

/// Notices to members found again. Each makes its receiver raise its version, which the whole group hears of.
constexpr duration kNoticePeriod = std::chrono::seconds(5);

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
    // While the fault is probably this node's own, the group is not told.
    if (!isDegraded())
        m_queue.put(entry.record, 0);
    sendRecord(entry.record.address, entry.record.name, entry.record);
    changed(before, entry);
}

void membership::state::beginSuspicion(member_entry &entry, time_point now)
{
    entry.suspectedAt = now;
    entry.suspectUntil = now + suspicionTime();
    m_nextSuspicionAt = std::min(m_nextSuspicionAt, entry.suspectUntil);
    const node_id id = idOf(entry.record);
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

/// Whether no member of the region was heard in the later half of the suspicion. In a region that is up some member
/// probes or answers this node about once a second.
bool membership::state::regionSilent(const member_entry &entry, time_point now)
{
    return table.region(entry.record.region, now).lastHeardAt + suspicionTime() / 2 < now;
}

bool membership::state::holdsDeath(const member_entry &entry, bool silent)
{
    const auto &region = table.region(entry.record.region, entry.suspectedAt);
    return silent || isDegraded() || region.troubled * 2 > region.members;
}

void membership::state::endSuspicion(member_entry &entry, time_point now)
{
    if (entry.lastHeardAt > entry.suspectedAt) {
        // It is alive for this node; its refutation was lost.
        beginSuspicion(entry, now);
        sendRecord(entry.record.address, entry.record.name, entry.record);
        return;
    }
    const bool silent = regionSilent(entry, now);
    if (holdsDeath(entry, silent))
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
    m_queue.drop(idOf(entry.record));
    changed(before, entry);
}

void membership::state::heard(member_entry &entry, time_point now)
{
    auto &region = table.region(entry.record.region, now);
    region.lastHeardAt = now;
    entry.lastHeardAt = now;
    if (!entry.unreachable)
        return;
    if (region.silent) {
        // The region is back as a whole. Members that are not will be found by the usual probes.
        region.silent = false;
        for (const auto &[id, other] : table.entries())
            if (other->unreachable && other->record.region == entry.record.region)
                clearUnreachable(*other);
        return;
    }
    clearUnreachable(entry);
    if (isDegraded() || now < m_nextNoticeAt)
        return;
    // Others may hold it for unreachable too; its refutation tells them.
    m_nextNoticeAt = now + kNoticePeriod;
    auto notice = entry.record;
    notice.state = member_state::suspect;
    sendRecord(entry.record.address, entry.record.name, notice);
}

void membership::state::clearUnreachable(member_entry &entry)
{
    const auto before = entry.record;
    table.change(
        entry, [](member_entry &changedEntry) { changedEntry.unreachable = false; }, m_random);
    changed(before, entry);
}

} // namespace citroncrank

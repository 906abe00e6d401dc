#include "membership_state_pvt.h"

#include <algorithm>

namespace citroncrank {

namespace {

constexpr std::size_t kRosterSize = 16;
/// Shortest time between two equal roster requests; the first may have been lost in an outage of the platform.
constexpr duration kRosterRepeat = std::chrono::minutes(1);

} // namespace

void membership::state::upkeep(time_point now)
{
    removeExpired(now);
    if (local.state == member_state::left)
        return;
    checkRoster(now);
}

void membership::state::removeExpired(time_point now)
{
    std::vector<node_id> expired;
    for (const auto &[id, entry] : table.entries()) {
        const bool deadLong = !entry->live() && now >= entry->deadAt + settings.deadRetention;
        const bool lostLong = entry->unreachable && now >= entry->unreachableSince + settings.unreachableRetention;
        if (deadLong || lostLong)
            expired.push_back(id);
    }
    for (const node_id id : expired) {
        const auto *entry = table.find(id);
        buryTombstone(entry->record, now);
        actions.emplace_back(member_changed{entry->record, std::nullopt, false});
        m_queue.drop(id);
        table.remove(id);
    }
    std::erase_if(table.tombstones, [now](const auto &item) { return now >= item.second.until; });
}

/// Contacts a seed that no live member has. It finds the other side of a partition that lasted longer than members are
/// kept, and members that started while this node had no contact.
void membership::state::contactLostSeed()
{
    std::vector<host_address> lost;
    for (const auto &address : seeds) {
        const auto *entry = table.findAddress(address);
        if (entry == nullptr || entry->unreachable)
            lost.push_back(address);
    }
    if (m_joined && local.state != member_state::left && !lost.empty())
        sendDigest(lost[m_random() % lost.size()], {});
}

/// One member of the domain asks for a change of the roster when an entry has no live member or entries are missing.
void membership::state::checkRoster(time_point now)
{
    if (!roster || isDegraded())
        return;
    const auto domainSeed = hashText(local.domain);
    std::vector<std::pair<std::uint64_t, host_address>> ranked{{hashPair(idOf(local), domainSeed), local.address}};
    for (const auto &[id, entry] : table.entries())
        if (entry->reachable() && entry->record.domain == local.domain)
            ranked.emplace_back(hashPair(id, domainSeed), entry->record.address);
    std::sort(ranked.begin(), ranked.end());
    if (ranked.front().second != local.address)
        return;
    std::vector<host_address> wanted;
    for (const auto &address : *roster)
        if (wanted.size() < kRosterSize && std::find(wanted.begin(), wanted.end(), address) == wanted.end()
            && std::any_of(ranked.begin(), ranked.end(), [&](const auto &item) { return item.second == address; }))
            wanted.push_back(address);
    for (const auto &[score, address] : ranked)
        if (wanted.size() < kRosterSize && std::find(wanted.begin(), wanted.end(), address) == wanted.end())
            wanted.push_back(address);
    if (wanted == *roster || (wanted == m_rosterWanted && now < m_rosterAt))
        return;
    m_rosterWanted = wanted;
    m_rosterAt = now + kRosterRepeat;
    actions.emplace_back(roster_change_wanted{local.domain, std::move(wanted)});
}

} // namespace citroncrank

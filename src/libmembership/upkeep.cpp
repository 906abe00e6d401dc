#include "membership_state_pvt.h"

#include <algorithm>

namespace citroncrank {

namespace {

constexpr std::size_t kRosterSize = 16;
/// Shortest interval between equal requests to change the roster. They are repeated because an earlier one may have
/// been lost in an outage of the platform.
constexpr duration kMinRosterRepeatInterval = std::chrono::minutes(1);

} // namespace

void membership::state::runMaintenance(time_point now)
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
        const bool deadExpired = !entry->live() && now >= entry->deadAt + settings.deadRetention;
        const bool unreachableExpired =
            entry->unreachable && now >= entry->unreachableSince + settings.unreachableRetention;
        if (deadExpired || unreachableExpired)
            expired.push_back(id);
    }
    for (const node_id id : expired) {
        const auto *entry = table.find(id);
        addTombstone(entry->record, now);
        actions.emplace_back(member_changed{entry->record, std::nullopt, false});
        m_queue.drop(id);
        table.remove(id);
    }
    std::erase_if(table.tombstones, [now](const auto &item) { return now >= item.second.until; });
}

/// Contacts a random seed whose address no reachable member has. This finds the other side of a partition that lasted
/// longer than members are kept, and members that started while this node had no contact.
void membership::state::contactSeedWithoutMember()
{
    std::vector<host_address> candidates;
    for (const auto &address : seeds) {
        const auto *entry = table.findAddress(address);
        if (entry == nullptr || entry->unreachable)
            candidates.push_back(address);
    }
    if (m_joined && local.state != member_state::left && !candidates.empty())
        sendDigest(candidates[m_random() % candidates.size()], {});
}

/// Requests a change of the roster when an entry has no reachable member or entries are missing. Only the member of the
/// failure domain with the lowest hash does so.
void membership::state::checkRoster(time_point now)
{
    if (!roster || isDegraded())
        return;
    const auto domainSeed = hashString(local.domain);
    std::vector<std::pair<std::uint64_t, host_address>> ranked{
        {hashPair(memberNodeId(local), domainSeed), local.address}};
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
    m_rosterAt = now + kMinRosterRepeatInterval;
    actions.emplace_back(roster_change_wanted{local.domain, std::move(wanted)});
}

} // namespace citroncrank

#include "member_table_pvt.h"

#include <algorithm>

namespace citroncrank {

namespace {

/// Excludes suspicion and the configuration revision: both differ between nodes for short times, and each difference
/// would cost the transfer of a whole bucket.
std::uint64_t recordDigest(const member_record &record)
{
    return hashPair(record.incarnation, record.version, memberNodeId(record));
}

} // namespace

member_entry *member_table::find(node_id id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : found->second.get();
}

member_entry *member_table::findAddress(const host_address &address) const
{
    const auto found = m_addresses.find(address);
    return found == m_addresses.end() ? nullptr : find(found->second);
}

member_entry &member_table::insert(member_record record, time_point now, member_random &random)
{
    const node_id id = memberNodeId(record);
    region(record.region, now);
    auto &slot = m_entries[id];
    slot = std::make_unique<member_entry>();
    slot->record = std::move(record);
    count(*slot, true);
    addToOrder(*slot, random);
    return *slot;
}

void member_table::remove(node_id id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    count(*found->second, false);
    m_entries.erase(found);
}

region_info &member_table::region(const std::string &name, time_point now)
{
    const auto [found, isNew] = m_regions.try_emplace(name);
    if (isNew)
        found->second.lastHeardAt = now;
    return found->second;
}

void member_table::count(const member_entry &entry, bool add)
{
    if (!entry.live())
        return;
    const node_id id = memberNodeId(entry.record);
    const std::size_t step = add ? 1 : std::size_t(-1);
    m_digests[bucketIndex(id)] ^= recordDigest(entry.record);
    m_live += step;
    auto &info = m_regions[entry.record.region];
    info.members += step;
    if (entry.unreachable || entry.record.state == member_state::suspect)
        info.unhealthy += step;
    if (entry.unreachable)
        m_unreachable += step;
    if (add) {
        m_addresses[entry.record.address] = id;
        return;
    }
    const auto found = m_addresses.find(entry.record.address);
    if (found != m_addresses.end() && found->second == id)
        m_addresses.erase(found);
}

void member_table::addToOrder(member_entry &entry, member_random &random)
{
    if (entry.listed || !entry.live())
        return;
    entry.listed = true;
    m_order.push_back(memberNodeId(entry.record));
    if (m_cursor < m_order.size())
        std::swap(m_order.back(), m_order[m_cursor + random() % (m_order.size() - m_cursor)]);
}

void member_table::shuffleOrder(member_random &random)
{
    std::erase_if(m_order, [this](node_id id) {
        auto *entry = find(id);
        if (entry != nullptr && !entry->live())
            entry->listed = false;
        return entry == nullptr || !entry->live();
    });
    // A member that was removed and inserted again within one probing round is in the order twice.
    std::sort(m_order.begin(), m_order.end());
    m_order.erase(std::unique(m_order.begin(), m_order.end()), m_order.end());
    for (std::size_t index = m_order.size(); index > 1; --index)
        std::swap(m_order[index - 1], m_order[random() % index]);
    m_cursor = 0;
}

member_entry *member_table::nextProbed(member_random &random)
{
    for (int round = 0; round < 2; ++round) {
        while (m_cursor < m_order.size()) {
            auto *entry = find(m_order[m_cursor++]);
            if (entry != nullptr && entry->reachable())
                return entry;
        }
        shuffleOrder(random);
    }
    return nullptr;
}

std::vector<std::uint64_t> member_table::digests(const member_record &local) const
{
    std::vector<std::uint64_t> result(m_digests.begin(), m_digests.end());
    if (local.state == member_state::alive)
        result[bucketIndex(memberNodeId(local))] ^= recordDigest(local);
    return result;
}

} // namespace citroncrank

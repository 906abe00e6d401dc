#pragma once

/// @file
/// Table of the other members, with digests, counters per region and the probing order.

#include "citroncrank/member.h"
#include "citroncrank/membership.h"

#include <random>
#include <unordered_map>

namespace citroncrank {

using member_random = std::mt19937_64;

struct member_entry
{
    member_record record;
    time_point suspectedAt;
    time_point suspectUntil;
    time_point deadAt;
    time_point lastHeardAt; ///< Last message from the member itself.
    time_point unreachableSince;
    bool unreachable = false;
    bool listed = false; ///< In the probing order.

    bool live() const { return record.state == member_state::alive || record.state == member_state::suspect; }
    bool reachable() const { return live() && !unreachable; }
};

/// Counters of the live members of one region.
struct region_info
{
    std::size_t members = 0;
    std::size_t unhealthy = 0; ///< Suspected or unreachable.
    time_point lastHeardAt;    ///< Last message received from any of its members.
    bool silent = false;       ///< Its members became unreachable while no message came from any of them.
};

/// Highest (incarnation, version) of a removed member.
struct tombstone
{
    std::uint64_t incarnation = 0;
    std::uint32_t version = 0;
    time_point until;
};

class member_table
{
public:
    // Not an Abseil hash table: their iteration order differs between processes, and a run with a seed would not be
    // reproducible.
    using entry_map = std::unordered_map<node_id, std::unique_ptr<member_entry>>;

    /// Entry with the identifier, or null.
    member_entry *find(node_id id) const;
    /// Live entry with the address, or null.
    member_entry *findAddress(const host_address &address) const;
    member_entry &insert(member_record record, time_point now, member_random &random);
    void remove(node_id id);
    /// Changes an entry and updates the digests, counters and indexes.
    template<typename change_type>
    void change(member_entry &entry, change_type apply, member_random &random)
    {
        count(entry, false);
        apply(entry);
        count(entry, true);
        addToOrder(entry, random);
    }

    /// Next member to probe in the random round-robin order, or null.
    member_entry *nextProbed(member_random &random);
    /// Random reachable member that satisfies `accept`, or null when none was found in a few draws.
    template<typename predicate_type>
    member_entry *randomMember(member_random &random, predicate_type accept) const
    {
        constexpr int kDraws = 12;
        for (int draw = 0; draw < kDraws && !m_order.empty(); ++draw) {
            auto *entry = find(m_order[random() % m_order.size()]);
            if (entry != nullptr && entry->reachable() && accept(*entry))
                return entry;
        }
        return nullptr;
    }

    const entry_map &entries() const { return m_entries; }
    region_info &region(const std::string &name, time_point now);
    std::size_t liveCount() const { return m_live; }
    std::size_t unreachableCount() const { return m_unreachable; }
    /// Digests per bucket of the live members and of `local`.
    std::vector<std::uint64_t> digests(const member_record &local) const;
    static std::size_t bucketIndex(node_id id) { return (id >> 32U) % kSyncBuckets; }

    std::unordered_map<node_id, tombstone> tombstones;

private:
    void count(const member_entry &entry, bool add);
    void addToOrder(member_entry &entry, member_random &random);
    void shuffleOrder(member_random &random);

    entry_map m_entries;
    std::unordered_map<host_address, node_id> m_addresses;
    std::unordered_map<std::string, region_info> m_regions;
    std::vector<node_id> m_order;
    std::size_t m_cursor = 0;
    std::array<std::uint64_t, kSyncBuckets> m_digests{};
    std::size_t m_live = 0;
    std::size_t m_unreachable = 0;
};

} // namespace citroncrank

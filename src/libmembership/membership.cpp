#include "citroncrank/membership.h"

#include "membership_state_pvt.h"

#include <algorithm>
#include <utility>

namespace citroncrank {

const char *toString(gossip_rejection reason)
{
    static constexpr std::array<const char *, kGossipRejectionCount> kNames{
        "stale_record",   "claims_this_node", "own_message",      "wrong_address",   "wrong_target",
        "oversized",      "malformed_record", "version_overflow", "version_jump",    "address_taken",
        "name_collision", "table_full",       "unmatched_ack",    "too_many_relays", "sync_limited"};
    return kNames.at(std::size_t(reason));
}

membership::membership(member_record local, membership_settings settings, std::uint64_t seed, time_point now)
    : m_state(std::make_unique<state>(std::move(local), settings, seed, now))
{}

membership::~membership() = default;
membership::membership(membership &&other) noexcept = default;
membership &membership::operator=(membership &&other) noexcept = default;

void membership::onMessage(const gossip_message &message, const host_address &from, time_point now)
{
    m_state->receive(message, from, now);
}

void membership::onTick(time_point now)
{
    m_state->tick(now);
}

void membership::setLocal(const local_change &change, time_point now)
{
    m_state->changeLocal(change, now);
}

void membership::addSeeds(const std::vector<host_address> &addresses)
{
    constexpr std::size_t kMaxSeeds = 256;
    auto &seeds = m_state->seeds;
    const std::size_t before = seeds.size();
    for (const auto &address : addresses)
        if (seeds.size() < kMaxSeeds && address != m_state->local.address
            && std::find(seeds.begin(), seeds.end(), address) == seeds.end())
            seeds.push_back(address);
    if (seeds.size() == before)
        return;
    m_state->scheduleSeedContact();
    if (reachableCount() == 0)
        m_state->scheduleJoin();
}

void membership::setRoster(std::vector<host_address> addresses)
{
    m_state->roster = std::move(addresses);
    m_state->scheduleRosterCheck();
}

void membership::leave(time_point now)
{
    m_state->leaveGroup(now);
}

std::vector<membership_action> membership::takeActions()
{
    return std::exchange(m_state->actions, {});
}

time_point membership::nextDeadline() const
{
    return m_state->nextDeadline();
}

const member_record &membership::local() const
{
    return m_state->local;
}

std::vector<member_view> membership::members() const
{
    std::vector<member_view> result;
    result.reserve(m_state->table.entries().size());
    for (const auto &[id, entry] : m_state->table.entries())
        result.push_back({entry->record, entry->unreachable});
    return result;
}

std::optional<member_view> membership::find(const std::string &name) const
{
    const auto *entry = m_state->table.find(nodeIdFromName(name));
    if (entry == nullptr || entry->record.name != name)
        return std::nullopt;
    return member_view{entry->record, entry->unreachable};
}

std::size_t membership::reachableCount() const
{
    return m_state->table.liveCount() - m_state->table.unreachableCount();
}

bool membership::degraded() const
{
    return m_state->isDegraded();
}

duration membership::suspicionTime() const
{
    return m_state->suspicionTime();
}

const membership_counters &membership::counters() const
{
    return m_state->counters;
}

} // namespace citroncrank

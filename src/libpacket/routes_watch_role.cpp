#include "citroncrank/routes_watch_role.h"

#include <absl/container/btree_map.h>
#include <algorithm>

namespace citroncrank {

namespace {

// Equal on all balancers, so that those of a failure domain agree on the order.
constexpr std::uint64_t kRankSalt = 0x726F75746573;
// A confirmation is due in less than the time-out, so a watcher counts as gone after three lost ones.
constexpr std::int64_t kLostConfirmations = 3;

} // namespace

routes_watch_role::routes_watch_role(const host_address &self, const routes_watch_settings &settings)
    : m_self(self)
    , m_settings(settings)
{}

std::uint64_t routes_watch_role::rank(const host_address &balancer) const
{
    return hashPair(packAddress(balancer), kRankSalt);
}

duration routes_watch_role::watcherTimeout() const
{
    return kLostConfirmations * m_settings.confirmationTimeout;
}

void routes_watch_role::recordConfirmation(const host_address &from, std::uint64_t version, time_point when,
                                           time_point now)
{
    absl::erase_if(m_heardAt, [&](const auto &entry) { return now - entry.second > watcherTimeout(); });
    absl::erase_if(m_confirmedAt,
                   [&](const auto &entry) { return now - entry.second > m_settings.confirmationTimeout; });
    m_heardAt[from] = now;
    time_point &confirmedAt = m_confirmedAt.try_emplace(version, when).first->second;
    confirmedAt = std::max(confirmedAt, when);
}

// A confirmation of other routes than those in force says nothing about them: of older ones since the store may hold
// newer ones by now, of newer ones since they still have to be read.
bool routes_watch_role::isWatcher(std::uint64_t version, time_point now) const
{
    const auto confirmedAt = m_confirmedAt.find(version);
    if (version == 0 || confirmedAt == m_confirmedAt.end()
        || now - confirmedAt->second > m_settings.confirmationTimeout)
        return true;
    const std::uint64_t ownRank = rank(m_self);
    const auto isBefore = [&](const auto &entry) {
        return now - entry.second <= watcherTimeout() && rank(entry.first) < ownRank;
    };
    return std::size_t(std::count_if(m_heardAt.begin(), m_heardAt.end(), isBefore)) < m_settings.watchers;
}

} // namespace citroncrank

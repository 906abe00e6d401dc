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
watch_reason routes_watch_role::watchReason(std::uint64_t version, time_point now) const
{
    const auto confirmed = confirmedAt(version);
    if (version == 0 || !confirmed || now - *confirmed > m_settings.confirmationTimeout)
        return watch_reason::no_confirmation;
    const std::uint64_t ownRank = rank(m_self);
    const auto isBefore = [&](const auto &entry) {
        return now - entry.second <= watcherTimeout() && rank(entry.first) < ownRank;
    };
    const auto before = std::count_if(m_heardAt.begin(), m_heardAt.end(), isBefore);
    return std::size_t(before) < m_settings.watchers ? watch_reason::first_in_order : watch_reason::none;
}

std::optional<time_point> routes_watch_role::confirmedAt(std::uint64_t version) const
{
    const auto found = m_confirmedAt.find(version);
    return found == m_confirmedAt.end() ? std::nullopt : std::optional(found->second);
}

const char *toString(watch_reason reason)
{
    switch (reason) {
    case watch_reason::none:
        return "none";
    case watch_reason::no_confirmation:
        return "no_confirmation";
    case watch_reason::fetch_failed:
        return "fetch_failed";
    case watch_reason::replaced:
        return "replaced";
    case watch_reason::first_in_order:
        return "first_in_order";
    }
    return "unknown";
}

} // namespace citroncrank

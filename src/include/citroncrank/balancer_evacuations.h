#pragma once

/// @file
/// Evacuations as a balancer knows them, and its share in passing them on.

#include "citroncrank/evacuation_state.h"
#include "citroncrank/ids.h"
#include "citroncrank/routes_watch_role.h"
#include "citroncrank/time.h"

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <string_view>

namespace citroncrank {

/// Not thread safe.
class balancer_evacuations
{
public:
    /// `watch`: how the balancers of a failure domain share the watch. Nullopt: the deployment has no evacuations, and
    /// none are applied.
    balancer_evacuations(const host_address &self, const std::optional<routes_watch_settings> &watch);

    bool isEnabled() const { return m_isEnabled; }
    const evacuation_state &state() const { return m_state; }
    evacuation_change apply(const evacuation_set &heard, time_point now);
    /// Records that another balancer of the failure domain found `confirmed` in the store at `when`.
    void recordConfirmation(const host_address &from, const evacuation_set &confirmed, time_point when, time_point now);
    /// Whether this balancer watches the evacuations in the store itself.
    bool isWatcher(time_point now) const { return m_isEnabled && m_role.isWatcher(m_generation, now); }
    /// Whether to send an agent that applies `version` the current set. At most once per second for an agent.
    bool takeDueUpdate(const host_address &agent, const evacuation_version &version, time_point now);

private:
    bool m_isEnabled;
    evacuation_state m_state;
    routes_watch_role m_role;
    std::uint64_t m_generation = 0; ///< Counts the changes of failure domains and eras here. 0: no set is known.
    absl::flat_hash_map<host_address, time_point> m_sentAt; ///< Time of the last set sent to each agent.
};

} // namespace citroncrank

#pragma once

/// @file
/// Evacuations that a node applies.

#include "citroncrank/evacuation_set.h"
#include "citroncrank/time.h"

#include <absl/container/btree_map.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citroncrank {

/// Effect of a set of evacuations on a node.
enum class evacuation_change : std::uint8_t {
    none,    ///< Not later than the set that is applied already.
    version, ///< Later, with the same failure domains.
    domains, ///< The first set, or other failure domains.
};

/// The latest set of evacuations that a node has heard of. Not thread safe.
class evacuation_state
{
public:
    /// Applies a set unless its version is the same as the current one or earlier.
    evacuation_change apply(evacuation_set heard, time_point now);
    /// Nullopt: no set has been heard of yet.
    const std::optional<evacuation_set> &current() const { return m_current; }
    /// Version of the current set; zero if there is none.
    evacuation_version version() const { return m_current ? m_current->version : evacuation_version{}; }
    bool isEvacuated(std::string_view domain) const { return m_current && m_current->contains(domain); }
    /// Evacuated failure domains, with the time from which each has been applied here without a break.
    const absl::btree_map<std::string, time_point> &since() const { return m_since; }

private:
    std::optional<evacuation_set> m_current;
    absl::btree_map<std::string, time_point> m_since;
};

/// Text for the log: version and domains, such as "version=2:54 domains=nbi-west,nbi-east".
std::string toString(const evacuation_set &set);

} // namespace citroncrank

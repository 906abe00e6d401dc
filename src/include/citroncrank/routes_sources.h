#pragma once

/// @file
/// Balancers from which newer routes can be read.

#include "citroncrank/ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace citroncrank {

/// Balancer from which a newer version of the routes can be read.
struct routes_source
{
    host_address http;
    std::uint64_t version = 0;
    auto operator<=>(const routes_source &) const = default;
};

/// Remembers who has announced the newest version of the routes. Not thread safe.
class routes_sources
{
public:
    /// Records that a balancer has announced its version. The latest announcement is tried first, since its sender was
    /// running a moment ago.
    void recordAnnouncement(const routes_source &source);
    /// Records that the routes could not be read. The source is not tried again until it announces them again.
    void recordFailure(const routes_source &source);
    /// Source of routes newer than `inForce`, if one is known.
    std::optional<routes_source> latest(std::uint64_t inForce) const;
    /// Whether routes newer than `inForce` exist and could not be read from a source.
    bool hasFailed(std::uint64_t inForce) const { return m_failedVersion > inForce; }

private:
    std::uint64_t m_version = 0;         ///< Of all sources. 0: none.
    std::vector<host_address> m_sources; ///< Latest announcement last.
    std::uint64_t m_failedVersion = 0;   ///< Newest version that could not be read.
};

} // namespace citroncrank

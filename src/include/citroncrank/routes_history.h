#pragma once

/// @file
/// Which versions of the routes other nodes have in force, and since when a version is replaced.

#include "citroncrank/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace citroncrank {

/// Not thread safe.
class routes_history
{
public:
    /// Records that a node has routes of this version in force. 0, unknown, changes nothing.
    void record(std::uint64_t version, time_point now);
    /// Newest version that was recorded. 0: none.
    std::uint64_t newest() const { return m_heard.empty() ? 0 : m_heard.back().version; }
    /// For how long newer routes than `version` are known to be in force elsewhere. Nullopt: none are known.
    std::optional<duration> replacedFor(std::uint64_t version, time_point now) const;

private:
    struct heard_version
    {
        std::uint64_t version = 0;
        time_point at; ///< When it was first heard of.
    };
    std::deque<heard_version> m_heard; ///< Version and time increase.
};

} // namespace citroncrank

#pragma once

/// @file
/// Recent decisions per flow, for `explain`.

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace citroncrank {

/// One decision about a flow.
struct trail_entry
{
    wall_time when;
    const char *event = ""; ///< For example "offered"; points to static storage.
    std::string peer;       ///< Name or address of the other node; empty when there is none.
    std::string reason;     ///< Empty when there is none.
    int attempt = -1;       ///< Attempt number of the open, from 0; -1 when not applicable.
};

/// Keeps the most recent decisions of a node, bounded in number. Not thread safe.
class decision_trail
{
public:
    explicit decision_trail(std::size_t capacity)
        : m_capacity(capacity)
    {}

    void add(const flow_id &flow, trail_entry entry);
    /// Decisions about the flow, oldest first; empty when none is recorded.
    std::vector<trail_entry> find(const flow_id &flow) const;
    std::size_t size() const { return m_entries.size(); }

private:
    // `find` scans all entries, since an index per flow took more memory than the flows themselves.
    std::size_t m_capacity;
    std::deque<std::pair<flow_id, trail_entry>> m_entries;
};

} // namespace citroncrank

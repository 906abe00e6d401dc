#pragma once

/// @file
/// Index of the next deadline of many keys.

#include "citroncrank/time.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <optional>
#include <utility>
#include <vector>

namespace citroncrank {

/// Keeps at most one deadline per key. All operations cost O(log n), so that a tick touches only what is due.
template<typename key_type>
class deadline_index
{
public:
    /// Sets, replaces or (with nullopt) removes the deadline of a key.
    void set(const key_type &key, std::optional<time_point> deadline)
    {
        const auto found = m_byKey.find(key);
        if (found != m_byKey.end()) {
            if (deadline == found->second)
                return;
            m_ordered.erase({found->second, key});
            m_byKey.erase(found);
        }
        if (deadline) {
            m_byKey.emplace(key, *deadline);
            m_ordered.emplace(*deadline, key);
        }
    }

    /// Removes and returns the keys whose deadline is not later than `now`.
    std::vector<key_type> takeDue(time_point now)
    {
        std::vector<key_type> due;
        while (!m_ordered.empty() && m_ordered.begin()->first <= now) {
            due.push_back(m_ordered.begin()->second);
            m_byKey.erase(m_ordered.begin()->second);
            m_ordered.erase(m_ordered.begin());
        }
        return due;
    }

    std::optional<time_point> next() const
    {
        if (m_ordered.empty())
            return std::nullopt;
        return m_ordered.begin()->first;
    }

private:
    absl::btree_set<std::pair<time_point, key_type>> m_ordered;
    absl::flat_hash_map<key_type, time_point> m_byKey;
};

} // namespace citroncrank

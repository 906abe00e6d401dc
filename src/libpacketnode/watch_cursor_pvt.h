#pragma once

/// @file
/// Where and when the next watch of the platform's store starts.

#include "citroncrank/object_store.h"
#include "citroncrank/time.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace citroncrank {

class watch_cursor
{
public:
    /// Where to watch from. Nullopt: the objects must be listed first.
    std::optional<object_version> from() const { return m_from; }

    /// All objects were listed at this version.
    void listed(object_version version) { m_from = version; }

    /// A watch was answered. An answer without changes moves nothing: a store that forgets its history answers so
    /// although there was a change, and a watch from the old version then learns that the history is gone.
    void answered(const watch_result &answer)
    {
        if (!answer.changes.empty())
            m_from = answer.version;
    }

    /// The store no longer knows the changes since from().
    void historyGone() { m_from = std::nullopt; }

private:
    std::optional<object_version> m_from;
};

/// Pause between two watches, so that changes in quick succession are read together. When all nodes start, each of them writes an
/// entry, and without a pause every balancer would read each of them with a call of its own.
class change_pacing
{
public:
    /// After a watch that was answered.
    duration pauseAfter(bool hadChanges)
    {
        if (!hadChanges) {
            m_next = kFirstPause;
            return duration(0);
        }
        return std::exchange(m_next, std::min(2 * m_next, kMaxPause));
    }

private:
    // Nodes make themselves known to each other directly, so a listing may be late by this.
    static constexpr duration kFirstPause = std::chrono::milliseconds(250);
    static constexpr duration kMaxPause = std::chrono::seconds(2);

    duration m_next = kFirstPause;
};

} // namespace citroncrank

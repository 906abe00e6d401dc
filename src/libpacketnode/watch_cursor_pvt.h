#pragma once

/// @file
/// Start version and pacing of the watches of the platform's store.

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
    /// Version after which to watch. Nullopt: the objects must be listed first.
    std::optional<object_version> from() const { return m_from; }

    /// Call after listing all objects at this version.
    void recordListing(const object_version &version) { m_from = version; }

    /// Call after a watch returned. A result without changes does not advance the cursor: a store that has dropped its
    /// history returns such a result although an object changed, and a new watch from the old version then fails with
    /// history_gone. One with unreadable changes does, since a new watch from the old version would return them again.
    void recordWatch(const watch_result &answer)
    {
        if (!answer.changes.empty() || answer.unreadable > 0)
            m_from = answer.version;
    }

    /// Requires a new listing, because the store has dropped the changes since from() or a write has failed.
    void invalidate() { m_from = std::nullopt; }

private:
    std::optional<object_version> m_from;
};

/// Pause between two watches, so that one call returns several changes. When all nodes start, each of them writes an
/// entry, and without a pause every balancer would make a call for each entry.
class change_pacing
{
public:
    /// Pause after a watch that returned. Doubles while watches return changes, and restarts after one without changes.
    duration pauseAfter(bool hadChanges)
    {
        if (!hadChanges) {
            m_nextPause = kFirstPause;
            return duration(0);
        }
        return std::exchange(m_nextPause, std::min(2 * m_nextPause, kMaxPause));
    }

private:
    // A delayed listing is harmless, since nodes also announce themselves to each other directly.
    static constexpr duration kFirstPause = std::chrono::milliseconds(250);
    static constexpr duration kMaxPause = std::chrono::seconds(2);

    duration m_nextPause = kFirstPause;
};

} // namespace citroncrank

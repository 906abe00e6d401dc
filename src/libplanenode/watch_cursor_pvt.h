#pragma once

/// @file
/// Where the next watch of the platform's store starts.

#include "citroncrank/platform_client.h"

#include <optional>

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

} // namespace citroncrank

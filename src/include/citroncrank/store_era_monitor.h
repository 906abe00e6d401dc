#pragma once

/// @file
/// Era of the platform's store as a node knows it.

#include "citroncrank/object_store.h"

#include <atomic>
#include <functional>
#include <vector>

namespace citroncrank {

/// Latest era of the store that a node has heard of, from its own calls or from other nodes. Thread safe.
class store_era_monitor
{
public:
    using listener = std::function<void()>;

    /// 0 before the first answer of the store, or if the store does not tell its era.
    store_era latest() const { return m_latest; }

    /// Records an era. If it is later than the latest one, calls the listeners in this thread.
    void observe(store_era era)
    {
        store_era before = m_latest;
        while (era > before) {
            if (!m_latest.compare_exchange_weak(before, era))
                continue;
            for (const listener &notify : m_listeners)
                notify();
            return;
        }
    }

    /// Must be called before the first observe().
    void addListener(listener notify) { m_listeners.push_back(std::move(notify)); }

private:
    std::atomic<store_era> m_latest = 0;
    std::vector<listener> m_listeners;
};

} // namespace citroncrank

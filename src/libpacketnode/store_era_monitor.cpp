#include "citroncrank/store_era_monitor.h"

#include <utility>

namespace citroncrank {

store_era store_era_monitor::latest() const
{
    const std::lock_guard lock(m_mutex);
    return m_latest;
}

void store_era_monitor::observe(store_era era)
{
    const std::lock_guard lock(m_mutex);
    if (era <= m_latest)
        return;
    m_latest = era;
    for (const auto &[owner, notify] : m_listeners)
        notify();
}

void store_era_monitor::subscribe(const void *owner, listener notify)
{
    const std::lock_guard lock(m_mutex);
    m_listeners[owner] = std::move(notify);
}

void store_era_monitor::unsubscribe(const void *owner)
{
    const std::lock_guard lock(m_mutex);
    m_listeners.erase(owner);
}

} // namespace citroncrank

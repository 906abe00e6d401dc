#pragma once

/// @file
/// Era of the platform's store as a node knows it.

#include "citroncrank/object_store.h"

#include <functional>
#include <map>
#include <mutex>

namespace citroncrank {

/// Latest era of the store that a node has heard of, from its own calls or from other nodes. Thread safe.
class store_era_monitor
{
public:
    using listener = std::function<void()>;

    /// 0 before the first answer of the store, or if the store does not tell its era.
    store_era latest() const;

    /// Records an era. If it is later than the latest one, calls the listeners in this thread.
    void observe(store_era era);

    /// Calls `notify` when the era rises, until unsubscribe() is called with the same owner.
    void subscribe(const void *owner, listener notify);
    void unsubscribe(const void *owner);

private:
    mutable std::mutex m_mutex;
    store_era m_latest = 0;
    std::map<const void *, listener> m_listeners;
};

} // namespace citroncrank

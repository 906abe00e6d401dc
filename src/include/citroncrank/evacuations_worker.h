#pragma once

/// @file
/// Thread that reads which failure domains the operator has evacuated.

#include "citroncrank/evacuation_set.h"
#include "citroncrank/store_worker.h"
#include "citroncrank/watch_timing.h"

#include <absl/container/btree_set.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace citroncrank {

/// Watches the operator's evacuations in the platform's store.
class evacuations_worker : public store_worker
{
public:
    /// Called in the worker's thread after each answer of the store, with all that it held at `listedAt`.
    using receiver = std::function<void(const evacuation_set &set, time_point listedAt)>;

    evacuations_worker(const store_access &access, const watch_timing &timing, receiver receive);
    ~evacuations_worker() override;

    /// Whether to watch, which it does from the start on. Otherwise it calls the store only after a restore of it. May be
    /// called from any thread.
    void setWatching(bool isWatching);

protected:
    std::optional<duration> step() override;

private:
    std::optional<duration> listAll();
    std::optional<duration> watchChanges();
    void report(const object_version &version, time_point listedAt);

    std::chrono::milliseconds m_wait;
    receiver m_receive;
    absl::btree_set<std::string> m_domains; ///< Evacuated at m_version.
    object_version m_version;
    std::atomic<bool> m_isWatching = true;
    bool m_wasIdle = false; ///< The last step did not call the store.
};

} // namespace citroncrank

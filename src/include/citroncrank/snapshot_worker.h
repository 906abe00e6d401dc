#pragma once

/// @file
/// Thread that keeps an agent's snapshot of open flows in the platform's store.

#include "citroncrank/store_worker.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace citroncrank {

/// Reads the snapshot of an earlier start once, then writes the newest one that was offered. Writes are conditional, so one that
/// an earlier process sent and that takes effect late cannot replace a later one.
class snapshot_worker : public store_worker
{
public:
    /// Takes the stored text. Called in the worker's thread, at most once.
    using receiver = std::function<void(const std::string &text)>;

    snapshot_worker(const host_address &store, std::string nodeName, receiver receive, store_log log);
    ~snapshot_worker() override;

    /// Writes `text` soon, in place of one that waits for the store. May be called from any thread.
    void offer(std::string text);
    /// Removes the snapshot, for a node that does not come back. Call after stop(). Waits for the store a short time.
    void removeOwn();

protected:
    std::optional<duration> step() override;

private:
    std::optional<duration> read();
    std::optional<duration> write(const std::string &text);
    std::optional<std::string> newest() const;
    void noteTaken(const std::string &text);

    std::string m_key;
    receiver m_receive;
    host_address m_storeAddress;
    bool m_isVersionKnown = false;
    bool m_isReceived = false;
    object_version m_version = 0; ///< 0: the store has none.
    mutable std::mutex m_offerMutex;
    std::optional<std::string> m_offered;
};

/// Removes the snapshot that a node which is gone has left in the store. Returns false and stores the cause if it stays.
bool removeSnapshot(object_store *store, const std::string &nodeName, platform_failure *lastReason);

} // namespace citroncrank

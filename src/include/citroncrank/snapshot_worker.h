#pragma once

/// @file
/// Thread that keeps an agent's snapshot of open flows in the platform's store.

#include "citroncrank/store_worker.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace citroncrank {

/// Reads the snapshot of an earlier incarnation once, then writes the latest submitted one. Writes that one again when it
/// hears that the store came back from an older copy. Writes are conditional on
/// the version, so a delayed write of an earlier incarnation cannot replace a later snapshot.
class snapshot_worker : public store_worker
{
public:
    /// Receives the stored text. Called in the worker's thread, at most once.
    using receiver = std::function<void(const std::string &text)>;

    snapshot_worker(const store_access &access, std::string nodeName, receiver receive);
    ~snapshot_worker() override;

    /// Schedules a write of `text`, which replaces a snapshot that is not written yet. May be called from any thread.
    void submit(std::string text);
    /// Removes the snapshot, for a node that is removed permanently. Makes one attempt of at most 500 ms. Call after
    /// stop().
    void removeOwnSnapshot();

protected:
    std::optional<duration> step() override;

private:
    std::optional<duration> read();
    std::optional<duration> write(const std::string &text);
    void resubmit();
    std::optional<std::string> pending() const;
    void clearPending(const std::string &text);

    std::string m_nodeName;
    std::string m_key;
    receiver m_receive;
    host_address m_storeAddress;
    bool m_isVersionKnown = false;
    bool m_isReceived = false;
    object_version m_version; ///< Default: the store has none.
    std::string m_written;    ///< Last text that was written.
    mutable std::mutex m_pendingMutex;
    std::optional<std::string> m_pending;
};

/// Removes the snapshot of a stale node. Returns true if none is left; otherwise returns false and stores the cause.
bool removeSnapshot(object_store *store, const std::string &nodeName, platform_failure *lastReason);

} // namespace citroncrank

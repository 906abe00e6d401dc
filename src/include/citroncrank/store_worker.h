#pragma once

/// @file
/// Base of the threads of a packet program that call the platform's store.

#include "citroncrank/store_era_monitor.h"
#include "citroncrank/worker_thread.h"

#include "platform_store.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace citroncrank {

class watch_cursor;

/// Writes a line about the store to the log. Called in the worker's thread.
using store_log = std::function<void(const std::string &text)>;

/// Counts a document of another writer that cannot be read. `document` names its kind. Thread safe.
using malformed_document_counter = std::function<void(const char *document)>;

/// What the workers of a node share.
struct store_access
{
    host_address address;
    std::shared_ptr<store_era_monitor> eras;
    store_log log;
    malformed_document_counter countMalformed = [](const char *) {};
};

/// Deadline of one call, until its answer begins. Reads take a few milliseconds, so a store that is slower by a factor of
/// 100 still answers within it.
constexpr std::chrono::milliseconds kStoreCallDeadline{800};
/// Longest pause after the first of several failed calls.
constexpr std::chrono::milliseconds kFirstStoreRetryDelay{100};

/// Worker thread with its own store client. Logs when the store is lost and when it is back, and backs off after failed
/// calls.
class store_worker : public worker_thread
{
public:
    /// `callDeadline`: of one call. The wait of a watch is added to it.
    store_worker(std::string name, const store_access &access,
                 std::chrono::milliseconds callDeadline = kStoreCallDeadline);
    ~store_worker() override;

protected:
    void interrupt() override { m_store.stop(); }
    object_store &store() { return m_store; }
    /// Records the outcome of a call. Returns the delay before the next call: 0 after a success, growing with each
    /// consecutive failure.
    duration recordCall(bool succeeded, platform_failure reason);
    /// Position at which the next awaitChanges() starts.
    watch_cursor &cursor() { return *m_cursor; }
    /// Waits for changes after the cursor and advances it. If the call fails, returns nullopt and stores the delay
    /// before the next step in `pause`.
    std::optional<watch_result> awaitChanges(const char *prefix, std::chrono::milliseconds wait, duration *pause);
    /// Whether another worker or another node has heard of a later era than this worker's last answer. Returns true once
    /// for each era. What the worker has written may then be gone from the store.
    bool takeLaterEra();
    /// Era of the store's last answer, as `era=N` for the log.
    std::string eraText() const;
    void log(const std::string &text) const { m_log(m_name + ": " + text); }
    void countMalformed(const char *document) const { m_countMalformed(document); }

private:
    void recordEra();
    void onLaterEra();

    std::string m_name;
    store_log m_log;
    malformed_document_counter m_countMalformed;
    std::shared_ptr<store_era_monitor> m_eras;
    store_era m_era = 0;        ///< Of the last answer.
    store_era m_handledEra = 0; ///< For which takeLaterEra() has returned true.
    platform::platform_store m_store;
    std::unique_ptr<watch_cursor> m_cursor;
    std::minstd_rand m_random;
    std::uint32_t m_failuresInRow = 0;
    bool m_isLost = false;
    std::atomic<bool> m_isWatchInProgress = false;
};

} // namespace citroncrank

#pragma once

/// @file
/// Base of the threads that keep a packet program in step with the platform's store.

#include "citroncrank/worker_thread.h"

#include "platform_store.h"

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

/// Of one call. Reads take a few milliseconds; a store that is slow by a factor of a hundred still answers in time.
constexpr std::chrono::milliseconds kStoreCallDeadline{800};

/// Worker with a store client of its own. Reports the store as lost and back, and waits between failed calls.
class store_worker : public worker_thread
{
public:
    store_worker(std::string name, const host_address &store, store_log log);
    ~store_worker() override;

protected:
    void interrupt() override { m_store.stop(); }
    object_store &store() { return m_store; }
    /// Notes the outcome of a call. Returns the wait before the next call: none after a success, growing with each
    /// failure in a row.
    duration noteCall(bool succeeded, platform_failure reason);
    /// Where the next awaitChanges() starts.
    watch_cursor &cursor() { return *m_cursor; }
    /// Waits for changes behind the cursor. Nullopt and the wait before the next step if the call brought none to use.
    std::optional<watch_result> awaitChanges(const char *prefix, std::chrono::milliseconds wait, duration *pause);
    void log(const std::string &text) const { m_log(m_name + ": " + text); }

private:
    std::string m_name;
    store_log m_log;
    platform::platform_store m_store;
    std::unique_ptr<watch_cursor> m_cursor;
    std::minstd_rand m_random;
    std::uint32_t m_failuresInRow = 0;
    bool m_isLost = false;
};

} // namespace citroncrank

#pragma once

/// @file
/// Calls from other threads into the thread of an event loop, which fail at once while the loop does not run.

#include "citroncrank/time.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace citroncrank {

/// Why a call has no result.
enum class loop_call_failure : std::uint8_t {
    none,
    queue_full, ///< The loop's queue is full.
    overloaded, ///< The loop did not run the call in time.
    stopping    ///< The loop has ended, or rests for an upgrade.
};

/// Runs functions in the loop's thread for threads that wait for them. close() fails the calls that wait, since a loop
/// that does not run executes none of them. Thread safe.
class loop_call_gate
{
public:
    /// Posts a function to the loop. Returns false if its queue is full.
    using poster = std::function<bool(std::function<void()> work)>;

    explicit loop_call_gate(poster post)
        : m_post(std::move(post))
    {}

    /// Runs `work` in the loop's thread and waits until it has returned, for `timeout` at most. After a timeout the loop may
    /// still run `work`, so it must own what it uses.
    loop_call_failure call(std::function<void()> work, duration timeout);
    /// Fails the calls that wait, and later ones until open(). The loop does not run the failed ones any more. Call it in
    /// the loop's thread, or after the loop has ended.
    void close();
    /// Admits calls again.
    void open();

private:
    enum class call_phase : std::uint8_t { waiting, done, abandoned };

    poster m_post;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isClosed = false;
    std::uint64_t m_closings = 0; ///< A call that misses close() and open() would wait for its time-out.
};

} // namespace citroncrank

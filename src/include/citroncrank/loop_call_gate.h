#pragma once

/// @file
/// Calls from other threads into the thread of an event loop, which end when the loop does.

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
    overloaded, ///< The loop did not run the call in time, or its queue is full.
    stopping    ///< The loop has ended.
};

/// Runs functions in the loop's thread for threads that wait for them. close() fails the calls that wait, since a loop
/// that has ended runs none of them. Thread safe.
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
    /// Fails all calls from now on. Call it in the loop's thread, or after the loop has ended.
    void close();

private:
    poster m_post;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isClosed = false;
};

} // namespace citroncrank

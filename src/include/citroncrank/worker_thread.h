#pragma once

/// @file
/// Thread that repeats a step with pauses between.

#include "citroncrank/time.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace citroncrank {

/// Thread that repeats a step with pauses between.
class worker_thread
{
public:
    worker_thread() = default;
    /// A derived class calls stop() in its own destructor, before its members end.
    virtual ~worker_thread() = default;
    worker_thread(const worker_thread &) = delete;
    worker_thread &operator=(const worker_thread &) = delete;

    void start();
    /// Ends the step in progress and the thread.
    void stop();
    /// Ends the pause between two steps.
    void wake();

protected:
    /// Returns how long to pause before the next step, or nullopt when the work is done.
    virtual std::optional<duration> step() = 0;
    /// Lets a step that waits for another process end. Called in the thread of stop().
    virtual void interrupt() {}

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopped = false;
    bool m_isWoken = false;
    std::thread m_thread;
};

} // namespace citroncrank

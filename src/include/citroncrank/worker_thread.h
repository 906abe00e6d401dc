#pragma once

/// @file
/// Thread that repeats a step with pauses in between.

#include "citroncrank/time.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace citroncrank {

/// Calls step() in its own thread until step() returns nullopt or stop() is called.
class worker_thread
{
public:
    worker_thread() = default;
    /// The destructor of a derived class must call stop(), since step() uses the members of that class.
    virtual ~worker_thread() = default;
    worker_thread(const worker_thread &) = delete;
    worker_thread &operator=(const worker_thread &) = delete;

    void start();
    /// Makes the thread end after the step in progress, and interrupts that step if it can be interrupted. Does not wait,
    /// so that several threads end at the same time.
    void requestStop();
    /// Requests the stop and joins the thread.
    void stop();
    /// Ends the current pause, or skips the next one if a step is in progress. Thread safe.
    void wake();

protected:
    /// Returns how long to pause before the next step, or nullopt when the work is done.
    virtual std::optional<duration> step() = 0;
    /// Ends a step that waits for another process. Called in the thread that calls requestStop().
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

#pragma once

/// @file
/// Event loop of the packet thread: file descriptors, timers, signals and functions posted by other threads.

#include "citroncrank/bounded_ring.h"
#include "citroncrank/timer_service.h"

#include <atomic>
#include <functional>
#include <map>
#include <vector>

namespace citroncrank {

class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    timer_service &timers() { return m_timers; }

    /// Calls `readable` while the descriptor has input.
    void watch(int descriptor, std::function<void()> readable);
    /// Sets a function that is called at the end of each iteration.
    void onIterationEnd(std::function<void()> run) { m_onIterationEnd = std::move(run); }
    /// Runs `work` in the thread of the loop. Returns false if the queue of posted functions is full. Thread safe.
    bool post(std::function<void()> work);
    /// Runs until stop().
    void run();
    /// Ends run() after the current iteration.
    void stop() { m_isStopped = true; }

    /// Installs handlers that record SIGTERM, SIGINT and SIGHUP until catchSignals(), and ignores SIGPIPE. Call it
    /// first in main(), since the default action of these signals ends the process.
    static void installSignalHandlers();
    /// Calls `onStop` for SIGTERM and SIGINT and `onReload` for SIGHUP in the thread of the loop, also for signals that
    /// were recorded before. Only one loop of a process may do so.
    void catchSignals(std::function<void()> onStop, std::function<void()> onReload);

private:
    void runPosted();
    void runSignals();

    int m_poll = -1;
    int m_wake = -1;
    bool m_isStopped = false;
    timer_service m_timers;
    std::map<int, std::function<void()>> m_watched;
    std::function<void()> m_onIterationEnd;
    std::function<void()> m_onStop;
    std::function<void()> m_onReload;
    bounded_ring<std::function<void()>> m_posted;
    std::vector<std::function<void()>> m_running;
};

} // namespace citroncrank

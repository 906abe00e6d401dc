#pragma once

/// @file
/// Loop of the packet thread: descriptors, timers and work from other threads.

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
    /// Called at the end of each round.
    void afterRound(std::function<void()> run) { m_afterRound = std::move(run); }
    /// Runs `work` in the thread of the loop. Returns false if too much work waits. Thread safe.
    bool post(std::function<void()> work);
    /// Runs until stop().
    void run();
    /// Ends run() after the present round.
    void stop() { m_isStopped = true; }

    /// Remembers SIGTERM, SIGINT and SIGHUP until a loop catches them. Call first of all, since their default is to end the
    /// process.
    static void rememberSignals();
    /// Lets SIGTERM, SIGINT and SIGHUP wake this loop, also those remembered. Only one loop of a process may do so.
    void catchSignals(std::function<void()> onStop, std::function<void()> onReload);

private:
    void runPosted();
    void runSignals();

    int m_poll = -1;
    int m_wake = -1;
    bool m_isStopped = false;
    timer_service m_timers;
    std::map<int, std::function<void()>> m_watched;
    std::function<void()> m_afterRound;
    std::function<void()> m_onStop;
    std::function<void()> m_onReload;
    bounded_ring<std::function<void()>> m_posted;
    std::vector<std::function<void()>> m_running;
};

} // namespace citroncrank

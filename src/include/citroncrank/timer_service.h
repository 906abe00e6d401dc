#pragma once

/// @file
/// Clocks of the process, and timers run by the thread that owns them.

#include "citroncrank/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace citroncrank {

/// Current monotonic time. Its start is the one of std::chrono::steady_clock.
time_point monotonicNow();

/// Current wall-clock time. May jump; only for records that operators read.
wall_time wallNow();

class timer_table;

/// Keeps a timer alive. Destroying or resetting it cancels the timer. May outlive the service.
class timer_subscription
{
public:
    timer_subscription() = default;
    timer_subscription(timer_subscription &&other) noexcept;
    timer_subscription &operator=(timer_subscription &&other) noexcept;
    ~timer_subscription();

    /// Cancels the timer. Safe within its own callback.
    void reset();

    /// Whether the timer can still run.
    bool active() const;

private:
    friend class timer_service;
    timer_subscription(std::weak_ptr<timer_table> table, std::uint64_t id);

    std::weak_ptr<timer_table> m_table;
    std::uint64_t m_id = 0;
};

/// Timers of one thread. Has no thread of its own: its owner calls runDue() and sleeps at most until nextDue().
/// Not thread safe.
class timer_service
{
public:
    /// Called with the time that was passed to runDue(). May add and cancel timers.
    using callback = std::function<void(time_point now)>;

    /// `clock` gives the time from which the first period of a subscription counts.
    explicit timer_service(std::function<time_point()> clock = monotonicNow);

    /// Runs `run` once per `period`, first one period from now. Runs that were missed while the owner was paused are
    /// skipped, not caught up. Periods under 1 microsecond are taken as 1 microsecond.
    [[nodiscard]] timer_subscription subscribe(duration period, callback run);

    /// Runs `run` once at `time`; a time in the past means at the next runDue().
    [[nodiscard]] timer_subscription at(time_point time, callback run);

    /// Runs all timers that are due at `now`, in the order of their due times, and returns how many ran. Timers added
    /// by a callback wait for the next call, so a callback that adds a timer that is due cannot make this loop forever.
    std::size_t runDue(time_point now);

    /// When the next timer is due. Nullopt without timers.
    std::optional<time_point> nextDue() const;

private:
    std::function<time_point()> m_clock;
    std::shared_ptr<timer_table> m_table;
};

} // namespace citroncrank

#pragma once

/// @file
/// Process clocks, and timers whose callbacks run in the owner's thread.

#include "citroncrank/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace citroncrank {

/// Current monotonic time. Has the epoch of std::chrono::steady_clock.
time_point monotonicNow();

/// Current wall-clock time. May jump; only for records that operators read.
wall_time wallNow();

class timer_table;

/// Handle of a timer. Destroying or resetting it cancels the timer. May outlive the service.
class timer_subscription
{
public:
    timer_subscription() = default;
    timer_subscription(timer_subscription &&other) noexcept;
    timer_subscription &operator=(timer_subscription &&other) noexcept;
    ~timer_subscription();

    /// Cancels the timer. May be called from the timer's own callback.
    void reset();

    /// Whether the timer is still scheduled.
    bool active() const;

private:
    friend class timer_service;
    timer_subscription(std::weak_ptr<timer_table> table, std::uint64_t id);

    std::weak_ptr<timer_table> m_table;
    std::uint64_t m_id = 0;
};

/// Timers of one thread. Starts no thread: the owner calls runDue() and sleeps at most until nextDue().
/// Not thread safe.
class timer_service
{
public:
    /// Called with the time that was passed to runDue(). May add and cancel timers.
    using callback = std::function<void(time_point now)>;

    /// `clock` supplies the start of the first period of a subscription.
    explicit timer_service(std::function<time_point()> clock = monotonicNow);

    /// Calls `run` once per `period`, starting one period from now. Calls missed while the owner's thread was blocked are
    /// skipped. Periods below 1 microsecond are raised to 1 microsecond.
    [[nodiscard]] timer_subscription subscribe(duration period, callback run);

    /// Calls `run` once at `time`, or at the next runDue() if `time` is in the past.
    [[nodiscard]] timer_subscription at(time_point time, callback run);

    /// Runs all timers that are due at `now`, ordered by due time, and returns their number. Timers added by a callback
    /// are left to the next call, so that a callback which adds a timer that is already due cannot cause an endless loop.
    std::size_t runDue(time_point now);

    /// Due time of the next timer. Nullopt if there are no timers.
    std::optional<time_point> nextDue() const;

private:
    std::function<time_point()> m_clock;
    std::shared_ptr<timer_table> m_table;
};

} // namespace citroncrank

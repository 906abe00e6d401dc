#pragma once

/// @file
/// Limit on the number of events in any period of a fixed length.

#include "citroncrank/time.h"

#include <cstddef>
#include <deque>

namespace citroncrank {

/// Counts events in a sliding window. A token bucket would allow up to twice its size in a window. Not thread safe.
class sliding_limit
{
public:
    explicit sliding_limit(duration window)
        : m_window(window)
    {}

    /// Whether one more event at `now` leaves at most `most` events in the window that ends now.
    bool isAllowed(std::size_t most, time_point now);
    /// Counts an event. Times must not decrease.
    void record(time_point now);
    duration window() const { return m_window; }

private:
    void expire(time_point now);

    duration m_window;
    std::deque<time_point> m_events;
};

} // namespace citroncrank

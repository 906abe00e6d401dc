#pragma once

/// @file
/// Time of the next attempt of a request that may fail.

#include "citroncrank/time.h"

#include <cstdint>

namespace citroncrank {

/// Time of the next attempt of a request, with exponential backoff and jitter.
class backoff_timer
{
public:
    void succeeded() { m_failures = 0; }
    void failed(duration first, duration longest, time_point now, std::uint64_t random);
    bool isDue(time_point now) const { return now >= m_next; }
    void setNext(time_point when) { m_next = when; }

private:
    int m_failures = 0;
    time_point m_next;
};

} // namespace citroncrank

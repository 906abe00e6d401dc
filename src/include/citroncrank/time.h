#pragma once

/// @file
/// Time types. The decision libraries never read a clock; their callers pass the current time in.

#include <chrono>
#include <cstdint>

namespace citroncrank {

using duration = std::chrono::microseconds;

/// Clock type of the times passed to decision libraries. The daemons take them from a monotonic clock, tests from a
/// counter.
struct logical_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<logical_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by the Clock concept
};

/// Monotonic time in microseconds since an unspecified start.
using time_point = logical_clock::time_point;

/// Wall-clock time in microseconds since the Unix epoch, only for records that operators read.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// Converts to milliseconds, truncating fractions.
constexpr std::int64_t wholeMilliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace citroncrank

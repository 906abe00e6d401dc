#pragma once

/// @file
/// Age of requests, from the time that their callers still wait.

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>

namespace citroncrank {

/// Learns how long the callers of each service address wait for an answer in all. Not thread safe.
class caller_budgets
{
public:
    /// Age of a request whose caller waits for `remainingMs` more. Zero if it is known to be the first attempt.
    duration requestAge(const host_address &service, std::uint32_t remainingMs, bool isFirstAttempt, time_point now);

private:
    /// Longest remaining times in the current period and in the one before.
    struct budget
    {
        time_point since;
        std::uint32_t currentMs = 0;
        std::uint32_t previousMs = 0;
    };

    absl::flat_hash_map<host_address, budget> m_budgets;
};

} // namespace citroncrank

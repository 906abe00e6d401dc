#pragma once

/// @file
/// Limit on the openings that a balancer sends a second time while a service is overloaded.

#include "citroncrank/time.h"

#include <cstdint>
#include <optional>

namespace citroncrank {

/// Budget of one service. Openings that are sent to a further agent in overload add at most a tenth to those of callers.
/// Without overload there is no limit. Not thread safe.
class retry_budget
{
public:
    /// Records an opening of a caller.
    void recordOpening();
    /// Records that an agent has refused an opening since it could not be answered in time.
    void recordOverload(time_point now) { m_overloadedAt = now; }
    /// Whether an agent has refused an opening for lack of time within the last second.
    bool isOverloaded(time_point now) const;
    /// Takes one retry from the budget. Returns false in overload if there is none.
    bool take(time_point now);

private:
    std::uint32_t m_tenths = 0; ///< Tenths of a retry.
    std::optional<time_point> m_overloadedAt;
};

} // namespace citroncrank

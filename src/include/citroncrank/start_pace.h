#pragma once

/// @file
/// Pace at which new work reaches an upstream that has just started or recovered. Performs no I/O.

#include "citroncrank/placement_cost.h"

namespace citroncrank {

/// How much work an upstream gets after its start, compared with warm upstreams of its service.
struct start_pace
{
    double share = 1;       ///< Share of its slots that it is taken to have.
    double relative = 1;    ///< Processing time as a multiple of that at the others, as far as the answers show it.
    double assumedLoad = 0; ///< Load that it is taken to have at least, as a fraction of these slots.
};

/// An upstream whose answers since its start are few has a share below 1 while other upstreams of the service are warm.
/// The share grows with each answer, and these count in `relative` where they take longer than at the others. Nothing
/// is reduced while all upstreams have just started, since none has room for the work of the others then.
start_pace startPace(const measured_processing &measured, const service_reference &reference);

} // namespace citroncrank

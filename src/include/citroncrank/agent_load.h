#pragma once

/// @file
/// Load of an agent as one balancer can estimate it from the agent's last report.

#include "citroncrank/agent_record.h"
#include "citroncrank/placement_cost.h"
#include "citroncrank/start_pace.h"
#include "citroncrank/time.h"

#include <random>

namespace citroncrank {

/// Requests at an agent that compete with a new one.
struct load_estimate
{
    double requests = 0;  ///< Expected number.
    double deviation = 0; ///< Standard deviation: how far the number may have changed since the last report.
    double slots = 1;     ///< Requests that the upstream processes at full speed; less after its start.
    double pace = 1;      ///< Part of the upstream's slots that `slots` is, see startPace().
    double relative = 1;  ///< Processing time of a request as a multiple of that at other upstreams of the service.
};

/// Processing time and load that the agent reports; not measured if its version reports no `processingMicroseconds`.
measured_processing measuredProcessing(const agent_record &agent);

/// Estimates the load of the agent at the time `now`, including the flows sent to it since its last report.
load_estimate estimateLoad(const agent_record &agent, const service_reference &reference, time_point now);

/// Expected completion of a new request, see completionCost(). The fraction of the slots in use if the upstream is as
/// fast as others. May exceed 1.
double expectedLoad(const load_estimate &estimate);

/// One of the values of expectedLoad() that are possible according to the estimate, drawn at random.
double drawLoad(const load_estimate &estimate, std::mt19937_64 *random);

} // namespace citroncrank

#pragma once

/// @file
/// Load of an agent as one balancer can estimate it from the agent's last report.

#include "citroncrank/agent_record.h"
#include "citroncrank/time.h"

#include <random>

namespace citroncrank {

/// Requests at an agent that compete with a new one.
struct load_estimate
{
    double requests = 0;  ///< Expected number.
    double deviation = 0; ///< Standard deviation: how far the number may have changed since the last report.
    double slots = 1;     ///< Requests that the upstream processes at full speed; less while it warms up.
};

/// Estimates the load of the agent at the time `now`, including the flows sent to it since its last report.
load_estimate estimateLoad(const agent_record &agent, time_point now);

/// Expected fraction of the slots in use. May exceed 1.
double expectedLoad(const load_estimate &estimate);

/// One of the fractions of slots in use that are possible according to the estimate, drawn at random.
double drawLoad(const load_estimate &estimate, std::mt19937_64 *random);

} // namespace citroncrank

#pragma once

/// @file
/// Helpers shared by the sources of the packet balancer.

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace citroncrank {

/// An agent answers a question within a way between failure domains and back.
constexpr duration kOwnerQueryTimeout = std::chrono::milliseconds(50);

/// Returns false if the agent is in the list already.
inline bool noteAgent(const host_address &agent, std::vector<host_address> *agents)
{
    if (std::find(agents->begin(), agents->end(), agent) != agents->end())
        return false;
    agents->push_back(agent);
    return true;
}

} // namespace citroncrank

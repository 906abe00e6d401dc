#pragma once

/// @file
/// Helpers shared by the sources of the packet balancer.

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace citroncrank {

/// Time allowed for the reply to an owner query: a round trip between failure domains.
constexpr duration kOwnerQueryTimeout = std::chrono::milliseconds(50);

/// Appends the agent to the list. Returns false if the list already contains it.
inline bool addUnique(const host_address &agent, std::vector<host_address> *agents)
{
    if (std::find(agents->begin(), agents->end(), agent) != agents->end())
        return false;
    agents->push_back(agent);
    return true;
}

} // namespace citroncrank

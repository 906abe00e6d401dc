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

/// Owner queries beyond the likely owners, for all flows together. They take up to 0.1 MB/s, a few percent of a small
/// host's link, whatever the number of flows without an owner.
constexpr double kWideQueriesPerSecond = 4000;

/// Appends the agent to the list. Returns false if the list already contains it.
inline bool addUnique(const host_address &agent, std::vector<host_address> *agents)
{
    if (std::find(agents->begin(), agents->end(), agent) != agents->end())
        return false;
    agents->push_back(agent);
    return true;
}

} // namespace citroncrank

#pragma once

/// @file
/// Helpers shared by the sources of the agent directory.

#include "citroncrank/agent_record.h"

namespace citroncrank {

// Only the agent's own statement that no upstream runs beside it rules it out. A missing entry or announcement does not:
// an agent that was cut off, or whose host the store rejects, has no entry, and after a restart it is unconfirmed until
// the next announcement of an upstream that may hold flows.
inline bool canOwnFlows(const agent_record &agent)
{
    return agent.report.state != agent_state::left;
}

} // namespace citroncrank

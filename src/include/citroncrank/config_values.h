#pragma once

/// @file
/// Translates the configuration in force into the settings of the decision libraries.

#include "citroncrank/agent_core.h"
#include "citroncrank/balancer_core.h"
#include "citroncrank/config_document.h"
#include "citroncrank/edge_streams.h"

#include <map>

namespace citroncrank {

/// Node and time for which values are looked up; the time decides which exceptions have expired.
struct config_place
{
    std::string domain;
    std::string host; ///< Name of the node.
    wall_time when;
};

/// Admission settings of an agent. Slots and connections come from the agent's own settings.
admission_settings admissionSettings(const config_revision &revision, const std::string &service,
                                     const config_place &place, const admission_settings &announced);

/// Timeouts of an agent; identity and service are kept from `base`.
agent_settings agentSettings(const config_revision &revision, const config_place &place, const agent_settings &base);

/// How an agent checks its upstream.
struct health_check_settings
{
    duration period{1'000'000};
    int failuresUntilDown = 3;
};
health_check_settings healthCheckSettings(const config_revision &revision, const std::string &service,
                                          const config_place &place);

/// Settings of each service address, for the edge that accepts callers there.
std::map<host_address, listener_settings> listenerSettings(const config_revision &revision, const config_place &place);

/// Settings of the balancer's decisions; identity is kept from `base`.
balancer_settings balancerSettings(const config_revision &revision, const config_place &place,
                                   const balancer_settings &base);

/// Retry budget of an edge.
retry_budget_settings retryBudgetSettings(const config_revision &revision, const config_place &place);

} // namespace citroncrank

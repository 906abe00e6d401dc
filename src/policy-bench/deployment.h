#pragma once

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <optional>
#include <string>
#include <vector>

namespace citroncrank::bench {

/// Load of one class of requests on a service.
struct request_class
{
    flow_class flowClass = flow_class::normal;
    double load = 0; ///< Fraction of the slot time of the service.
    duration meanService{0};
    duration deadline{0}; ///< From arrival at the edge to the complete response there.
};

/// A service with its upstreams.
struct service_plan
{
    std::string name;
    std::size_t upstreams = 0;
    std::uint16_t slots = 0;
    std::uint32_t connections = 2000;
    std::vector<request_class> steady; ///< One class at 70 % load, for queueing delays.
    std::vector<request_class> mixed;  ///< All classes, for floods.
};

struct deployment
{
    std::string name;
    std::vector<std::string> domains;
    std::size_t balancers = 0;
    service_plan mainService;
    service_plan bulkService;
};

/// Reference deployments of the design page (section 1.1).
deployment iceland();
deployment kenya();
/// The deployment with `factor` times the upstreams and balancers.
deployment scaled(deployment base, std::size_t factor);

} // namespace citroncrank::bench

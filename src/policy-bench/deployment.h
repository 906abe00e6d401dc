#pragma once

#include "citroncrank/ids.h"
#include "citroncrank/time.h"

#include <optional>
#include <string>
#include <vector>

namespace citroncrank::bench {

/// One class of requests offered to a service.
struct work_class
{
    flow_class flowClass = flow_class::normal;
    double load = 0; ///< Part of the service's slot time, 0.7 for 70 %.
    duration meanService{0};
    duration deadline{0}; ///< From the arrival at the edge to the complete response there.
};

/// A service with its upstreams.
struct service_plan
{
    std::string name;
    std::size_t upstreams = 0;
    std::uint16_t slots = 0;
    std::uint32_t connections = 2000;
    std::vector<work_class> steady; ///< 70 % load of one class, for queueing waits.
    std::vector<work_class> mixed;  ///< All classes, for floods.
};

struct deployment
{
    std::string name;
    std::vector<std::string> domains;
    std::size_t balancers = 0;
    service_plan mainService;
    service_plan bulkService;
};

/// Deployments of section 1.1 of the design page.
deployment iceland();
deployment kenya();
/// The deployment with `factor` times the upstreams and balancers.
deployment scaled(deployment base, std::size_t factor);

} // namespace citroncrank::bench

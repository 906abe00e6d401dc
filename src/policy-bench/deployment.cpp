#include "deployment.h"

namespace citroncrank::bench {

namespace {

constexpr duration kMs = std::chrono::milliseconds(1);

std::vector<request_class> mixedClasses(duration meanService)
{
    return {{flow_class::urgent, 0.30, meanService, 10 * meanService},
            {flow_class::normal, 0.25, meanService, 20 * meanService},
            {flow_class::bulk, 0.15, meanService, 100 * meanService}};
}

service_plan service(const std::string &name, std::size_t upstreams, std::uint16_t slots, duration meanService)
{
    return {.name = name,
            .upstreams = upstreams,
            .slots = slots,
            .steady = {{flow_class::normal, 0.7, meanService, 20 * meanService}},
            .mixed = mixedClasses(meanService)};
}

service_plan bulkOnly(service_plan plan)
{
    plan.mixed = {{flow_class::bulk, 0.7, plan.steady.front().meanService, 20 * plan.steady.front().meanService}};
    return plan;
}

} // namespace

deployment iceland()
{
    return {.name = "iceland",
            .domains = {"rvk-a", "rvk-b", "hfj-c"},
            .balancers = 3,
            .mainService = service("bokunarkerfi", 7, 7, 100 * kMs),
            .bulkService = bulkOnly(service("skjalaveita", 3, 7, 500 * kMs))};
}

deployment kenya()
{
    return {.name = "kenya",
            .domains = {"nbi-west", "nbi-east", "nbi-south"},
            .balancers = 3,
            .mainService = service("returns-desk", 7, 2, 100 * kMs),
            .bulkService = bulkOnly(service("receipts", 3, 2, 500 * kMs))};
}

deployment scaled(deployment base, std::size_t factor)
{
    base.balancers *= factor;
    base.mainService.upstreams *= factor;
    base.bulkService.upstreams *= factor;
    return base;
}

} // namespace citroncrank::bench

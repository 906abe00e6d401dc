#include "citroncrank/route_set.h"

#include <numeric>

namespace citroncrank {

const packet_route *route_set::find(const host_address &address) const
{
    const auto found = routes.find(address);
    return found == routes.end() ? nullptr : &found->second;
}

std::uint32_t route_set::coldRateMilli(const std::string &service) const
{
    const auto found = coldRatesMilli.find(service);
    return found == coldRatesMilli.end() ? 0 : found->second;
}

const std::string &chooseService(const packet_route &route, const flow_key &flow)
{
    const std::uint64_t total =
        std::accumulate(route.targets.begin(), route.targets.end(), std::uint64_t(0),
                        [](std::uint64_t sum, const route_target &target) { return sum + target.weight; });
    if (total == 0)
        return route.targets.front().service;
    std::uint64_t point = hashPair(packAddress(flow.caller), packAddress(flow.service)) % total;
    for (const route_target &target : route.targets) {
        if (point < target.weight)
            return target.service;
        point -= target.weight;
    }
    return route.targets.back().service;
}

} // namespace citroncrank

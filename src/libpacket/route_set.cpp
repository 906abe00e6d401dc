#include "citroncrank/route_set.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <numeric>
#include <set>

namespace citroncrank {

namespace {

// Sorted, since the order of the targets and their weights do not matter to who may get a flow.
std::set<std::string> servicesOf(const packet_route &route)
{
    std::set<std::string> services;
    for (const route_target &target : route.targets) {
        if (target.weight > 0)
            services.insert(target.service);
    }
    return services;
}

} // namespace

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

std::string movedRoutesText(const route_set &before, const route_set &after)
{
    std::vector<std::string> moved;
    for (const auto &[address, route] : after.routes) {
        const packet_route *const earlier = before.find(address);
        const auto services = servicesOf(route);
        if (earlier != nullptr && servicesOf(*earlier) != services)
            moved.push_back(absl::StrCat(route.name, ":", absl::StrJoin(services, "+")));
    }
    std::sort(moved.begin(), moved.end());
    moved.resize(std::min(moved.size(), kMaxMovedRoutesLogged));
    return moved.empty() ? std::string() : absl::StrCat(" moved=", absl::StrJoin(moved, ";"));
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

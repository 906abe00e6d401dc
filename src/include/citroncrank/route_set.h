#pragma once

/// @file
/// The routes in force: which service takes new flows of a service address.

#include "citroncrank/packet.h"
#include "citroncrank/time.h"

#include <absl/container/flat_hash_map.h>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace citroncrank {

/// One of the services of a route.
struct route_target
{
    std::string service;
    std::uint32_t weight = 1;
    auto operator<=>(const route_target &) const = default;
};

/// Where new flows of one service address go.
struct packet_route
{
    std::string name;
    host_address address;              ///< Address that callers use.
    std::vector<route_target> targets; ///< Never empty.
    std::uint32_t priority = 0;        ///< 0 is the most urgent.
    duration timeout{0};               ///< Time that a caller waits for an answer.
    duration latencyTarget{0};
    bool isIdempotent = false; ///< Callers may repeat a request that failed.
    auto operator<=>(const packet_route &) const = default;
};

/// All routes of one version. Immutable once it is shared.
struct route_set
{
    std::uint64_t version = 0; ///< Only increases.
    absl::flat_hash_map<host_address, packet_route> routes;
    duration flowIdleTimeout{0}; ///< A flow that was silent for longer may be forgotten.

    const packet_route *find(const host_address &address) const;
};

/// Service of a new flow, in proportion to the weights. The same flow gets the same service at every balancer.
const std::string &chooseService(const packet_route &route, const flow_key &flow);

} // namespace citroncrank

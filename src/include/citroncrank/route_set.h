#pragma once

/// @file
/// The routes in force, which map service addresses to the services that receive their new flows.

#include "citroncrank/packet.h"
#include "citroncrank/time.h"

#include <absl/container/flat_hash_map.h>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citroncrank {

/// Service of a route and its share of new flows.
struct route_target
{
    std::string service;
    std::uint32_t weight = 1;
    auto operator<=>(const route_target &) const = default;
};

/// Services that receive the new flows of one service address, and the settings of their requests.
struct packet_route
{
    std::string name;
    host_address address;              ///< Address that callers use.
    std::vector<route_target> targets; ///< Never empty.
    std::uint32_t priority = 0;        ///< 0 is the most urgent.
    duration timeout{0};               ///< Time that a caller waits for a response.
    duration latencyTarget{0};         ///< 0: none.
    bool isIdempotent = false;         ///< Callers may retry a failed request.
    auto operator<=>(const packet_route &) const = default;
};

/// All routes of one configuration version. Not modified once it is shared.
struct route_set
{
    std::uint64_t version = 0; ///< Increases with each change.
    absl::flat_hash_map<host_address, packet_route> routes;
    duration flowIdleTimeout{0}; ///< State of a flow that was idle for longer may be dropped.

    /// New flows per second that an upstream of a service bears while it is cold, in thousandths. Services without a
    /// limit are absent.
    absl::flat_hash_map<std::string, std::uint32_t> coldRatesMilli;

    /// 0: no limit.
    std::uint32_t coldRateMilli(const std::string &service) const;
    const packet_route *find(const host_address &address) const;
};

/// Routes that are in both versions and name other services, for the log: ` moved=NAME:a+b;NAME:c`, at most
/// kMaxMovedRoutesLogged of them. Empty if there are none.
std::string movedRoutesText(const route_set &before, const route_set &after);

constexpr std::size_t kMaxMovedRoutesLogged = 4;

/// Service of a new flow, chosen in proportion to the weights. Every balancer chooses the same service for the same
/// flow.
const std::string &chooseService(const packet_route &route, const flow_key &flow);

} // namespace citroncrank

#pragma once

/// @file
/// Faults that a soak injects, drawn from a seed.

#include "citroncrank/time.h"

#include "tcp_proxy.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace citroncrank::soak {

enum class node_kind : std::uint8_t { balancer, agent };

/// One of the processes under test.
struct node_name
{
    node_kind kind = node_kind::balancer;
    std::size_t index = 0;
    auto operator<=>(const node_name &) const = default;
};
std::string toString(const node_name &name);

/// Ends a node and starts it again.
struct restart_node
{
    node_name node;
    bool isKilled = false; ///< SIGKILL, else SIGTERM.
    duration down{0};      ///< Between its end and its start.
    auto operator<=>(const restart_node &) const = default;
};

/// SIGSTOP, later SIGCONT.
struct pause_node
{
    node_name node;
    duration length{0};
    auto operator<=>(const pause_node &) const = default;
};

/// SIGHUP.
struct reload_node
{
    node_name node;
    auto operator<=>(const reload_node &) const = default;
};

/// Ends an upstream; another one with a new id takes its place.
struct replace_upstream
{
    std::size_t index = 0;
    bool isKilled = false; ///< Else it announces that it leaves, and drains.
    auto operator<=>(const replace_upstream &) const = default;
};

/// Disturbs the connections of all nodes to the store.
struct disturb_store
{
    proxy_mode mode = proxy_mode::pass;
    duration length{0};
    auto operator<=>(const disturb_store &) const = default;
};

/// The operator names another service for the route.
struct change_route
{
    std::size_t service = 0;
    auto operator<=>(const change_route &) const = default;
};

/// The routers lose packets of callers.
struct lose_packets
{
    double share = 0;
    duration length{0};
    auto operator<=>(const lose_packets &) const = default;
};

using fault =
    std::variant<restart_node, pause_node, reload_node, replace_upstream, disturb_store, change_route, lose_packets>;
std::string toString(const fault &what);

struct planned_fault
{
    duration at{0}; ///< Since the start of traffic.
    fault what;
    auto operator<=>(const planned_fault &) const = default;
};

struct fault_plan_settings
{
    std::size_t balancers = 3;
    std::size_t agents = 5; ///< One upstream each.
    std::size_t services = 2;
    duration length = std::chrono::seconds(20); ///< No fault begins later.
    auto operator<=>(const fault_plan_settings &) const = default;
};

/// The same seed gives the same faults, ordered by time. Faults overlap, and some come in series.
std::vector<planned_fault> planFaults(const fault_plan_settings &settings, std::uint64_t seed);

} // namespace citroncrank::soak

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

/// Identifies a balancer or agent process under test.
struct node_name
{
    node_kind kind = node_kind::balancer;
    std::size_t index = 0;
    auto operator<=>(const node_name &) const = default;
};
std::string toString(const node_name &name);

/// Stops or kills a node and starts it again.
struct restart_node
{
    node_name node;
    bool isKilled = false; ///< SIGKILL, else SIGTERM.
    duration downtime{0};  ///< Between its exit and its next start.
    auto operator<=>(const restart_node &) const = default;
};

/// Sends SIGSTOP, and SIGCONT after `length`.
struct pause_node
{
    node_name node;
    duration length{0};
    auto operator<=>(const pause_node &) const = default;
};

/// Sends SIGHUP.
struct reload_node
{
    node_name node;
    auto operator<=>(const reload_node &) const = default;
};

/// Stops or kills an upstream; another one with a new id replaces it.
struct replace_upstream
{
    std::size_t index = 0;
    bool isKilled = false; ///< SIGKILL; else SIGTERM: it announces that it leaves, and drains.
    auto operator<=>(const replace_upstream &) const = default;
};

/// Disturbs the connections of all nodes to the store.
struct disturb_store
{
    proxy_mode mode = proxy_mode::pass;
    duration length{0};
    auto operator<=>(const disturb_store &) const = default;
};

/// The store comes back from a copy that was made when the fault began. Its waiting watches end, and the operator writes
/// the route again.
struct restore_store
{
    duration age{0}; ///< Of the copy.
    auto operator<=>(const restore_store &) const = default;
};

/// The operator evacuates a failure domain, and ends the evacuation after `length`.
struct evacuate_domain
{
    std::size_t domain = 0; ///< Index for domainName().
    duration length{0};
    auto operator<=>(const evacuate_domain &) const = default;
};

/// The operator changes the route to another service.
struct change_route
{
    std::size_t service = 0;
    auto operator<=>(const change_route &) const = default;
};

/// The routers drop packets of callers.
struct lose_packets
{
    double share = 0; ///< Share of the packets, 0 to 1.
    duration length{0};
    auto operator<=>(const lose_packets &) const = default;
};

using fault = std::variant<restart_node, pause_node, reload_node, replace_upstream, disturb_store, change_route,
                           lose_packets, restore_store, evacuate_domain>;
std::string toString(const fault &what);

struct planned_fault
{
    duration at{0}; ///< After the start of traffic.
    fault what;
    auto operator<=>(const planned_fault &) const = default;
};

struct fault_plan_settings
{
    std::size_t balancers = 3;
    std::size_t agents = 5; ///< One upstream each.
    std::size_t services = 2;
    duration length = std::chrono::seconds(20); ///< All faults begin before this time.
    std::size_t storeRestores = 0; ///< Restores of the store, besides the other faults, which do not depend on them.
    std::size_t evacuations = 0;   ///< Evacuations of a failure domain, likewise.
    auto operator<=>(const fault_plan_settings &) const = default;
};

/// An evacuation is in force from this time after its write.
constexpr duration kEvacuationTime = std::chrono::seconds(2);
constexpr std::size_t kDomains = 2;
/// Name of one of the failure domains of a fleet with evacuations.
std::string domainName(std::size_t index);

/// Draws faults, ordered by time; the same seed gives the same plan. Faults overlap, and some come in quick succession.
std::vector<planned_fault> planFaults(const fault_plan_settings &settings, std::uint64_t seed);

} // namespace citroncrank::soak

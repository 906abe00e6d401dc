#pragma once

/// @file
/// Settings of the packet programs.

#include "citroncrank/ids.h"
#include "citroncrank/settings.h"
#include "citroncrank/time.h"

#include <string>
#include <vector>

namespace citroncrank {

/// Settings that both programs have.
struct packet_node_settings
{
    std::string name;
    std::string region;
    std::string domain;                     ///< Failure domain.
    host_address plane;                     ///< For datagrams of other nodes.
    host_address http;                      ///< Readiness, metrics, and the routes in force for other nodes.
    std::uint16_t callerPort = 0;           ///< Port at which callers receive packets.
    host_address platform;                  ///< The platform's store.
    std::uint32_t storeWritesPerSecond = 0; ///< Writing calls that the store takes from all nodes together.
    std::vector<host_address> seeds;        ///< Balancers that may be up; each uses this node's plane port.
    duration flowLifetime{0};
    duration stopTime{0}; ///< The process is killed this long after SIGTERM.
    bool operator==(const packet_node_settings &) const = default;
};

struct packet_balancer_node_settings
{
    packet_node_settings node;
    host_address packets; ///< Where routers send callers' packets.
    bool operator==(const packet_balancer_node_settings &) const = default;
};

struct packet_agent_node_settings
{
    packet_node_settings node;
    host_address upstreamPackets; ///< Where the upstream sends its packets.
    host_address announcements;   ///< Where the upstream announces itself.
    host_address upstream;        ///< Where the upstream receives packets.
    std::string service;
    duration announcementPeriod{0};
    duration minSnapshotInterval{0}; ///< Shortest time between two snapshots of the open flows. 0: none are made.
    bool operator==(const packet_agent_node_settings &) const = default;
};

settings_table packetBalancerTable();
settings_table packetAgentTable();

/// Settings from the checked values of a file.
packet_node_settings parsePacketNodeSettings(const settings_values &values);
packet_balancer_node_settings parsePacketBalancerNodeSettings(const settings_values &values);
packet_agent_node_settings parsePacketAgentNodeSettings(const settings_values &values);

} // namespace citroncrank

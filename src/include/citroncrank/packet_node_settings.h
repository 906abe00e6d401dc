#pragma once

/// @file
/// Settings of the packet programs.

#include "citroncrank/ids.h"
#include "citroncrank/packet_agent.h"
#include "citroncrank/settings.h"
#include "citroncrank/time.h"

#include <optional>
#include <string>
#include <vector>

namespace citroncrank {

/// Settings that both programs share.
struct packet_node_settings
{
    std::string name;
    std::string region;
    std::string domain;                     ///< Failure domain.
    host_address nodeAddress;               ///< Receives messages from other nodes (UDP).
    host_address http;                      ///< Serves readiness, metrics, and the routes in force to other nodes.
    std::uint16_t callerPort = 0;           ///< Port on which callers receive packets.
    host_address platform;                  ///< The platform's store.
    std::uint32_t storeWritesPerSecond = 0; ///< Write calls that the store accepts from all nodes together.
    std::vector<host_address> seeds;        ///< Balancers that may be running; the port is that of nodeAddress.
    duration flowLifetime{0};
    duration stopTime{0}; ///< The process is killed this long after SIGTERM.
    /// Longest time from the write of an evacuation until it is in force. Nullopt: the deployment has no evacuations.
    std::optional<duration> evacuationTime;
    bool operator==(const packet_node_settings &) const = default;
};

struct packet_balancer_node_settings
{
    packet_node_settings node;
    host_address packets;           ///< Receives the callers' packets from the routers.
    std::size_t routesWatchers = 0; ///< Balancers of a failure domain that watch the configuration.
    duration configurationTime{0};  ///< Longest time from the confirmation of a configuration until it is in force.
    bool operator==(const packet_balancer_node_settings &) const = default;
};

struct packet_agent_node_settings
{
    packet_node_settings node;
    host_address upstreamPackets; ///< Receives the packets that the upstream sends.
    host_address announcements;   ///< Receives the announcements of the upstream.
    host_address upstream;        ///< Address on which the upstream receives packets.
    std::string service;
    duration announcementPeriod{0};
    duration minSnapshotInterval{0}; ///< Minimum time between two snapshots of the open flows. 0: none are made.
    std::optional<cold_opening_limit> coldLimit; ///< Nullopt: none.
    duration configurationTime{0};               ///< As for balancers.
    bool operator==(const packet_agent_node_settings &) const = default;
};

settings_table packetBalancerTable();
settings_table packetAgentTable();

/// Converts the validated values of a settings file.
packet_node_settings parsePacketNodeSettings(const settings_values &values);
packet_balancer_node_settings parsePacketBalancerNodeSettings(const settings_values &values);
packet_agent_node_settings parsePacketAgentNodeSettings(const settings_values &values);

} // namespace citroncrank

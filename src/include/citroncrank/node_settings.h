#pragma once

/// @file
/// Settings files of the daemons.

#include "citroncrank/fleet_node.h"
#include "citroncrank/log.h"
#include "citroncrank/net.h"
#include "citroncrank/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace citroncrank {

/// Settings that both daemons have.
struct node_settings
{
    std::string name;
    std::string region;
    std::string domain;
    host_address listen;
    host_address http;
    std::optional<host_address> platform;
    std::vector<host_address> seeds;
    frame_keys keys;
    log_settings log;
};

struct balancer_file
{
    node_settings node;
    std::vector<host_address> accept; ///< Service addresses on which this balancer accepts plain TCP itself.
};

struct agent_file
{
    node_settings node;
    std::string service;
    host_address upstream;
    std::uint16_t slots = 0;
    std::uint32_t connections = 0;
};

/// Tables of keys, also for the generated reference.
settings_table balancerSettingsTable();
settings_table agentSettingsTable();

/// Reads and checks a settings file. Returns nullopt and stores all faults in `faults` (must not be null).
std::optional<balancer_file> readBalancerFile(const std::string &path, std::vector<settings_fault> *faults);
std::optional<agent_file> readAgentFile(const std::string &path, std::vector<settings_fault> *faults);

} // namespace citroncrank

#pragma once

/// @file
/// The processes of a soak on loopback, with one address per node.

#include "citroncrank/ids.h"
#include "citroncrank/standin_callers.h"

#include "child_process.h"
#include "fault_plan.h"

#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <vector>

namespace citroncrank::soak {

struct fleet_settings
{
    std::string binaryFolder;   ///< Folder of the programs.
    std::string workFolder;     ///< Folder for settings and logs.
    std::uint32_t network = 90; ///< Second byte of all addresses, 127.NETWORK.x.y.
    std::size_t balancers = 3;
    std::size_t agents = 5;
    bool hasEvacuations = false; ///< Nodes are in two failure domains, and the settings have an evacuation-time.
};

/// Exit of a process that was not requested, or with an unexpected status.
struct unexpected_exit
{
    std::string process;
    process_exit status;
    auto operator<=>(const unexpected_exit &) const = default;
};

class soak_fleet
{
public:
    explicit soak_fleet(fleet_settings settings);

    /// Writes the settings and starts all processes. Returns false and stores the cause.
    bool start(std::error_code *lastReason);
    bool startNode(const node_name &node, std::error_code *lastReason);
    /// Starts an upstream with a new id beside the agent.
    bool startUpstream(std::size_t index, std::error_code *lastReason);

    child_process &process(const std::string &name) { return m_processes.at(name); }
    /// The process may end with exit code 0 from now on; with SIGKILL if `isKilled`.
    void expectExit(const std::string &name, bool isKilled);
    /// Returns the processes that ended unexpectedly since the last call, and stores the others in `ended`.
    std::vector<unexpected_exit> pollExits(std::vector<std::string> *ended);

    host_address storeAddress() const; ///< Address of the store itself.
    host_address proxyAddress() const; ///< Address of the proxy, which nodes use as the store's.
    host_address firstCaller() const;
    std::vector<rotation_member> rotation() const;
    std::string serviceOf(std::size_t agent) const;
    const std::string &upstreamId(std::size_t index) const { return m_upstreamIds.at(index); }
    std::string upstreamProcess(std::size_t index) const;
    std::vector<std::string> upstreamLogs() const { return m_upstreamLogs; }
    std::vector<node_name> nodes() const;
    std::size_t domainOf(const node_name &node) const;
    host_address httpAddress(const node_name &node) const;

private:
    std::string ip(std::uint32_t subnet, std::size_t index) const;
    void writeSettings(const node_name &node) const;
    bool startProcess(const std::string &name, const std::vector<std::string> &command, const std::string &log,
                      std::error_code *lastReason);

    fleet_settings m_settings;
    std::map<std::string, child_process> m_processes;
    enum class expected_exit : std::uint8_t { none, exit, kill };

    std::map<std::string, expected_exit> m_expectedExits;
    std::map<std::size_t, std::string> m_upstreamIds;
    std::vector<std::string> m_upstreamLogs;
    std::uint32_t m_upstreamStarts = 0;
};

/// Name of one of the two services of the fleet. The upstreams of the last two agents serve the second one.
std::string serviceName(std::size_t index);

} // namespace citroncrank::soak

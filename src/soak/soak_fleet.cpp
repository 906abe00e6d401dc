#include "soak_fleet.h"

#include <absl/strings/str_cat.h>
#include <csignal>
#include <fstream>
#include <utility>

namespace citroncrank::soak {

namespace {

constexpr std::uint16_t kNodeMessagePort = 27200;
constexpr std::uint16_t kHttpPort = 27167;
constexpr std::uint16_t kPacketPort = 27172;
constexpr std::uint16_t kUpstreamPacketsPort = 27162;
constexpr std::uint16_t kAnnouncementPort = 27166;
constexpr std::uint16_t kUpstreamPort = 27188;
constexpr std::uint16_t kStorePort = 27169;
constexpr std::uint32_t kLoopbackNet = 127;
constexpr std::uint32_t kBalancerSubnet = 1;
constexpr std::uint32_t kAgentSubnet = 2;
constexpr std::uint32_t kStoreSubnet = 3;
constexpr std::uint32_t kCallerSubnet = 7;
constexpr std::size_t kAgentsOfSecondService = 2;

std::uint32_t subnetFor(node_kind kind)
{
    return kind == node_kind::balancer ? kBalancerSubnet : kAgentSubnet;
}

} // namespace

std::string serviceName(std::size_t index)
{
    return index == 0 ? "bokunarkerfi" : "skjalaveita";
}

soak_fleet::soak_fleet(fleet_settings settings)
    : m_settings(std::move(settings))
{}

std::string soak_fleet::ip(std::uint32_t subnet, std::size_t index) const
{
    return absl::StrCat(kLoopbackNet, ".", m_settings.network, ".", subnet, ".", index + 1);
}

host_address soak_fleet::storeAddress() const
{
    return {(kLoopbackNet << 24U) | (m_settings.network << 16U) | (kStoreSubnet << 8U) | 1U, kStorePort};
}

host_address soak_fleet::proxyAddress() const
{
    return {storeAddress().ip + 1, kStorePort};
}

host_address soak_fleet::firstCaller() const
{
    return {(kLoopbackNet << 24U) | (m_settings.network << 16U) | (kCallerSubnet << 8U) | 1U, kPacketPort};
}

std::string soak_fleet::serviceOf(std::size_t agent) const
{
    return serviceName(agent + kAgentsOfSecondService < m_settings.agents ? 0 : 1);
}

std::string soak_fleet::upstreamProcess(std::size_t index) const
{
    return absl::StrCat("upstream", index + 1);
}

std::vector<node_name> soak_fleet::nodes() const
{
    std::vector<node_name> all;
    for (std::size_t i = 0; i < m_settings.balancers; ++i)
        all.push_back({node_kind::balancer, i});
    for (std::size_t i = 0; i < m_settings.agents; ++i)
        all.push_back({node_kind::agent, i});
    return all;
}

std::size_t soak_fleet::domainOf(const node_name &node) const
{
    return m_settings.hasEvacuations ? node.index % kDomains : 0;
}

host_address soak_fleet::httpAddress(const node_name &node) const
{
    return *parseHostAddress(absl::StrCat(ip(subnetFor(node.kind), node.index), ":", kHttpPort));
}

std::vector<rotation_member> soak_fleet::rotation() const
{
    std::vector<rotation_member> members;
    for (std::uint32_t i = 0; i < m_settings.balancers; ++i) {
        const std::uint32_t address =
            (kLoopbackNet << 24U) | (m_settings.network << 16U) | (kBalancerSubnet << 8U) | (i + 1);
        members.push_back({{address, kPacketPort}, {address, kHttpPort}});
    }
    return members;
}

void soak_fleet::writeSettings(const node_name &node) const
{
    const std::string own = ip(subnetFor(node.kind), node.index);
    std::ofstream out(absl::StrCat(m_settings.workFolder, "/", toString(node), ".yaml"));
    out << "name: " << toString(node) << "\nregion: is-sudvestur\ndomain: " << domainName(domainOf(node))
        << "\ncaller-address: \"" << toString(firstCaller()) << "\"\nplatform: \"" << toString(proxyAddress())
        << "\"\nseeds: [" << ip(kBalancerSubnet, 0) << ":" << kAnnouncementPort << ", " << ip(kBalancerSubnet, 1) << ":"
        << kAnnouncementPort << "]\nlisten:\n  plane: \"" << own << ":" << kNodeMessagePort << "\"\n  http: \"" << own
        << ":" << kHttpPort << "\"\n";
    const std::string evacuations =
        m_settings.hasEvacuations ? absl::StrCat("evacuation-time: ", wholeMilliseconds(kEvacuationTime), "ms\n") : "";
    if (node.kind == node_kind::balancer) {
        out << "  packets: \"" << own << ":" << kPacketPort << "\"\n" << evacuations;
        return;
    }
    out << "  upstream-packets: \"" << own << ":" << kUpstreamPacketsPort << "\"\n  announcements: \"" << own << ":"
        << kAnnouncementPort << "\"\nupstream: {address: \"" << own << ":" << kUpstreamPort << "\", service: \""
        << serviceOf(node.index) << "\", announcement-period: 300ms}\n"
        << evacuations;
}

bool soak_fleet::startProcess(const std::string &name, const std::vector<std::string> &command, const std::string &log,
                              std::error_code *lastReason)
{
    m_expectedExits[name] = expected_exit::none;
    return m_processes[name].start(command, absl::StrCat(m_settings.workFolder, "/", log, ".log"), lastReason);
}

bool soak_fleet::startNode(const node_name &node, std::error_code *lastReason)
{
    const std::string name = toString(node);
    const std::string program =
        node.kind == node_kind::balancer ? "citroncrank-packet-balancer" : "citroncrank-packet-agent";
    return startProcess(name,
                        {absl::StrCat(m_settings.binaryFolder, "/", program), "--settings",
                         absl::StrCat(m_settings.workFolder, "/", name, ".yaml")},
                        name, lastReason);
}

bool soak_fleet::startUpstream(std::size_t index, std::error_code *lastReason)
{
    const std::string own = ip(kAgentSubnet, index);
    const std::string id = absl::StrCat("i-", index + 1, "-", ++m_upstreamStarts);
    m_upstreamIds[index] = id;
    m_upstreamLogs.push_back(absl::StrCat(m_settings.workFolder, "/", id, ".log"));
    return startProcess(upstreamProcess(index),
                        {absl::StrCat(m_settings.binaryFolder, "/standin-packet-upstream"), "--address",
                         absl::StrCat(own, ":", kUpstreamPort), "--agent-packets",
                         absl::StrCat(own, ":", kUpstreamPacketsPort), "--announce-to",
                         absl::StrCat(own, ":", kAnnouncementPort), "--service", serviceOf(index), "--id", id,
                         "--slots", "2", "--work-ms", "5", "--late-every=4", "--silent-every=5", "--print-runs"},
                        id, lastReason);
}

bool soak_fleet::start(std::error_code *lastReason)
{
    if (!startProcess(
            "store", {absl::StrCat(m_settings.binaryFolder, "/standin-platform"), "--listen", toString(storeAddress())},
            "store", lastReason))
        return false;
    for (const node_name &node : nodes()) {
        writeSettings(node);
        if (!startNode(node, lastReason))
            return false;
    }
    for (std::size_t i = 0; i < m_settings.agents; ++i) {
        if (!startUpstream(i, lastReason))
            return false;
    }
    return true;
}

void soak_fleet::expectExit(const std::string &name, bool isKilled)
{
    m_expectedExits[name] = isKilled ? expected_exit::kill : expected_exit::exit;
}

std::vector<unexpected_exit> soak_fleet::pollExits(std::vector<std::string> *ended)
{
    std::vector<unexpected_exit> unexpected;
    for (auto &[name, process] : m_processes) {
        const auto end = process.pollExit();
        if (!end)
            continue;
        const expected_exit expected = m_expectedExits[name];
        const bool isExit = expected != expected_exit::none && end->signal == 0 && end->exitCode == 0;
        const bool isKill = expected == expected_exit::kill && end->signal == SIGKILL;
        if (isExit || isKill)
            ended->push_back(name);
        else
            unexpected.push_back({name, *end});
    }
    return unexpected;
}

} // namespace citroncrank::soak
